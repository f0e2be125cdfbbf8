package lrdaemon

import (
	"net"
	"net/http"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplacement"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	idleEngineConnections = 256
	engineDialTimeout     = time.Second
)

// wireRouting makes the parts that choose engines, order requests and run streams.
func (d *Daemon) wireRouting() {
	nested := lrroute.NewNested(
		lrroute.WithZone(d.settings.Instance.Zone), lrroute.WithBeliefBytes(d.settings.Routing.BeliefBytes),
		lrroute.WithSeed(uint64(d.started.UnixNano())), lrroute.WithNotes(),
	)
	d.placer = nested
	d.queue = lrqueue.NewUnbounded()
	d.registry = lrregistry.New(d.settings.Instance.Zone, d.listing, lrengine.NewDialer(engineHTTPClient()), d.placer, d.log,
		lrregistry.WithRoster(d.roster), lrregistry.WithWanted(d.wantedVersion))
	d.membership.SetBoard(lrregistry.NewBoard(d.registry))
	sharer := lrplacement.NewSharer(d.roster, d.pool, nested, d.registry, d.clock, d.log)
	lrpeerpb.RegisterPlacementServer(d.peers, sharer)
	d.runner = lrstream.NewRunner(d.registry, d.placer, d.clock, lrstream.Options{
		MaxAttempts: d.settings.Routing.MaxAttempts, EventTimeout: d.settings.Routing.EventTimeout,
	}, d.log)
	d.supervisor.Add("refreshInstances", lrsupervise.Every(d.settings.Platform.ListInterval, d.registry.RefreshList))
	d.supervisor.Add("publishNotices", lrsupervise.Every(lrplacement.Interval, d.registry.PublishChanges))
	d.supervisor.Add("sharePlacements", lrsupervise.Every(lrplacement.Interval, sharer.Send))
	d.supervisor.Add("refreshLoads", lrsupervise.Every(d.settings.Routing.LoadInterval, d.registry.RefreshLoads))
}

// wantedVersion returns the weights version that the configuration wants of the model.
func (d *Daemon) wantedVersion(model string) string {
	wanted, _ := d.follower.Snapshot().Catalog().Model(model)
	return wanted.Version
}

func engineHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: engineDialTimeout}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleEngineConnections, DialContext: dialer.DialContext}}
}
