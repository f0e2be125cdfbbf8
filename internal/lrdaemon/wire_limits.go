package lrdaemon

import (
	"context"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgrant"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// wireLimits creates the limiter of client accounts. The home of an account is the instance that owns its token bucket.
// This instance serves the accounts that it is the home of, and obtains grants of tokens from the homes of all others.
func (d *Daemon) wireLimits() {
	s := d.settings
	options := lrgrant.Options{
		Self: lrlimit.Member{
			Name: s.Instance.Name, Incarnation: d.members.Self().Incarnation, Address: s.Instance.PeerAddress,
		},
		Zone: s.Instance.Zone, LeaseValidity: s.Limits.LeaseValidity, GrantValidity: s.Limits.GrantValidity, MaxWait: s.Limits.MaxWait,
	}
	limitViews := lrgrant.NewViewKeeper(options, lrgrant.Dependencies{
		Clock: d.clock, Platform: d.platform, Directory: d.instanceList, Candidates: d.candidates, Pool: d.pool, Log: d.log,
		RecordViolation:   func(name string) { d.metrics.Violations.WithLabelValues(name).Inc() },
		RefusedInsideRate: d.metrics.RefusedInsideRate.Inc,
	})
	server := lrgrant.NewServer(limitViews)
	limiter := lrgrant.NewLimiter(limitViews, server)
	lrpeerpb.RegisterLimitServer(d.peers, server)
	d.limiter, d.limitViews = limiter, limitViews
	d.supervisor.Add("keepViews", limitViews.Run)
	d.supervisor.Add("prefetchGrants", limiter.RunPrefetch)
	d.supervisor.Add("reportGrants", lrsupervise.Every(limiter.ReportPeriod(), limiter.Report))
	d.exitHooks = append(d.exitHooks, func(ctx context.Context) {
		limiter.Release(ctx)
		limitViews.Leave(ctx)
	})
}
