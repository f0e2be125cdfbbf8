package lrdaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplacement"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	idleEngineConnections = 256
	engineDialTimeout     = time.Second
	updateInterval        = 100 * time.Millisecond
)

// wireRouting creates the components that choose engines, queue requests and run streams.
func (d *Daemon) wireRouting() {
	nested := lrroute.NewNestedPlacer(
		lrroute.WithZone(d.settings.Instance.Zone), lrroute.WithEstimateBytes(d.settings.Routing.BeliefBytes),
		lrroute.WithSeed(uint64(d.started.UnixNano())), lrroute.WithPlacementUpdates(),
		lrroute.WithViolationHandler(d.placementViolated),
	)
	d.placer = nested
	d.exitHooks = append(d.exitHooks, func(context.Context) {
		if d.gateway.ActiveCalls() == 0 && !nested.Idle() {
			d.placementViolated(lrroute.InvariantLoad)
		}
	})
	d.registry = lrregistry.New(d.settings.Instance.Zone, d.instanceList, lrengine.NewDialer(engineHTTPClient()), d.placer, d.log,
		lrregistry.WithMembers(d.members), lrregistry.WithCacheUpdates(nested), lrregistry.WithKVStores(nested),
		lrregistry.WithDesiredVersions(d.desiredVersion))
	d.membership.SetServerUpdates(lrregistry.NewLeavingServers(d.registry))
	sharer := lrplacement.NewSharer(d.members, d.pool, nested, d.registry, d.clock, d.log)
	lrpeerpb.RegisterPlacementServer(d.peers, sharer)
	d.wireStreams()
	d.supervisor.Add("refreshInstances", lrsupervise.Every(d.settings.Platform.ListInterval, d.registry.RefreshList))
	d.supervisor.Add("publishNotices", lrsupervise.Every(updateInterval, d.registry.PublishChanges))
	d.supervisor.Add("sharePlacements", lrsupervise.Every(lrplacement.Interval, sharer.Send))
	d.supervisor.Add("refreshHoldings", lrsupervise.Every(updateInterval, d.registry.ReadCacheEvents))
	d.supervisor.Add("refreshLoads", lrsupervise.Every(d.settings.Routing.LoadInterval, d.registry.RefreshLoads))
}

func (d *Daemon) placementViolated(invariant string) {
	d.metrics.Violations.WithLabelValues(invariant).Inc()
	d.log.Error().Str("invariant", invariant).Msg("placement: invariant violated")
}

// desiredVersion returns the version of the model's weights that the configuration specifies.
func (d *Daemon) desiredVersion(model string) string {
	desired, _ := d.follower.Snapshot().Catalog().Model(model)
	return desired.Version
}

func engineHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: engineDialTimeout}
	return &http.Client{
		Transport:     lrengine.NewTransport(idleEngineConnections, dialer.DialContext),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
