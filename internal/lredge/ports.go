package lredge

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpipeline"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrrelease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// A CacheReader reads what the caches of engines and the KV stores contain.
type CacheReader interface {
	// CachedBlocks returns the prefix blocks that are cached at the address. If the server is not empty, it must be the one at the address.
	CachedBlocks(ctx context.Context, address, server string) ([]lrpipeline.CachedBlock, error)
}

// Ports are the interfaces to everything outside the process. They only translate; all decisions are made behind them.
type Ports struct {
	Tables lrfleet.Feed[lrtable.Spec]
	// TableName is the name of the active routing table in Tables.
	TableName       string
	Servers         lrfleet.Feed[lrfleet.Server]
	DesiredVersions lrfleet.Feed[lrfleet.DesiredVersion]
	Instances       lrfleet.Feed[lrfleet.Instance]
	// Verdicts are the stored decisions on requests and parts of prompts that crash backend servers, and VerdictsKind is their kind of
	// object.
	Verdicts     lrfleet.Feed[lrquarantine.Verdict]
	VerdictsKind string
	// Rollouts are the operator's orders to move the traffic of services to other versions, and RolloutStatuses stores their statuses.
	Rollouts        lrfleet.Feed[lrcanary.Entry]
	RolloutStatuses lrrelease.Statuses
	Store           lrplatform.Objects
	// InstancesKind is the kind of object under which instances register themselves in the store.
	InstancesKind string
	Backend       lrpipeline.Backend
	Engines       lrweights.Engines
	Connections   *lrconn.Pool
	KVStores      lrfleet.KVProber
	CacheReader   CacheReader
	// Collectors are the metrics of the ports.
	Collectors []prometheus.Collector
	// Duties are the background tasks of the ports, by name.
	Duties map[string]lrsupervise.Duty
	// EncodeRefusal returns the body of a refusal that is written before a request reaches the handler.
	EncodeRefusal func(refusal *lrerror.Error) []byte
	// Handler returns the HTTP handler for callers.
	Handler func(pipeline *lrpipeline.Pipeline, maxBody func() int64) http.Handler
}
