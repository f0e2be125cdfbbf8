package lredge

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpipeline"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// A CacheReader reads what engines and kept stores hold.
type CacheReader interface {
	// CachedParts returns the parts that are held at the address. A server that is not empty must be the one there.
	CachedParts(ctx context.Context, address, server string) ([]lrpipeline.CachedPart, error)
}

// Ports are how the outside is reached. They translate and decide nothing.
type Ports struct {
	Tables lrfleet.Feed[lrtable.Spec]
	// TableName is the name of the routing table in force among the tables.
	TableName string
	Servers   lrfleet.Feed[lrfleet.Server]
	Wanted    lrfleet.Feed[lrfleet.Wanted]
	Instances lrfleet.Feed[lrfleet.Instance]
	Store     lrplatform.Objects
	// InstancesKind is the kind under which instances register themselves in the store.
	InstancesKind string
	Backend       lrpipeline.Backend
	Engines       lrweights.Engines
	Connections   *lrconn.Pool
	Kept          lrfleet.KeptProber
	Caches        CacheReader
	// Collectors are metrics of the ports, and Duties work that they do in the background.
	Collectors []prometheus.Collector
	Duties     map[string]lrsupervise.Duty
	// Handler returns the handler of callers.
	Handler func(pipeline *lrpipeline.Pipeline, maxBody func() int64) http.Handler
}
