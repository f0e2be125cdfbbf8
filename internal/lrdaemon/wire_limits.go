package lrdaemon

import (
	"context"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgrant"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// wireLimits makes the limiter of client accounts: this instance's homes, and its grants from all homes.
func (d *Daemon) wireLimits() {
	s := d.settings
	options := lrgrant.Options{
		Self: lrlimit.Member{
			Name: s.Instance.Name, Incarnation: d.roster.Self().Incarnation, Address: s.Instance.PeerAddress,
		},
		Zone: s.Instance.Zone, LeaseValidity: s.Limits.LeaseValidity, GrantValidity: s.Limits.GrantValidity, MaxWait: s.Limits.MaxWait,
	}
	keeper := lrgrant.NewKeeper(options, lrgrant.Parts{
		Clock: d.clock, Platform: d.platform, Directory: d.listing, Candidates: d.candidates, Pool: d.pool, Log: d.log,
		Violation:         func(name string) { d.metrics.Violations.WithLabelValues(name).Inc() },
		RefusedInsideRate: d.metrics.RefusedInsideRate.Inc,
	})
	server := lrgrant.NewServer(keeper)
	limiter := lrgrant.NewLimiter(keeper, server)
	lrpeerpb.RegisterLimitServer(d.peers, server)
	d.limiter, d.keeper = limiter, keeper
	d.supervisor.Add("keepViews", keeper.Run)
	d.supervisor.Add("prefetchGrants", limiter.RunPrefetch)
	d.supervisor.Add("reportGrants", lrsupervise.Every(limiter.ReportPeriod(), limiter.Report))
	d.beforeExit = append(d.beforeExit, func(ctx context.Context) {
		limiter.Release(ctx)
		keeper.Leave(ctx)
	})
}
