package lredge

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrrollout"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// deadlineMargin is the part of the deadline of newer weights that is left for the way of a request to its engine, and for the time after
// which an instance hears of the weights.
const deadlineMargin = time.Second

// outdatedLimit returns how long after an update requests are still sent to engines with outdated weights, or zero for the default.
func outdatedLimit(deadline time.Duration) time.Duration { return max(deadline-deadlineMargin, 0) }

// assumedAge returns for how long a version that was named before the start of an instance counts as desired at the start, so that its deadline
// passes after the grace. Zero means that its age counts from the first read.
func assumedAge(o lrsettings.Orders) time.Duration {
	return max(o.VersionDeadline-o.UnknownAgeGrace, 0)
}

// applyDesired applies the desired versions. Those of the first read may have been named at any time before.
func (d *Daemon) applyDesired(now time.Time, entries map[string]lrfleet.DesiredVersion) {
	assumed := assumedAge(d.settings.Orders)
	isFirst := now.Equal(d.desired.FirstAppliedAt())
	for _, w := range entries {
		if isFirst && assumed > 0 {
			d.directory.AssumeDesired(d.startedAt.Add(-assumed), w.Model, w.Version)
			continue
		}
		d.directory.SetDesired(now, w.Model, w.Version)
	}
}

// wireWeights creates the part that orders engines to load new weights, and the lease under which it does so.
func (d *Daemon) wireWeights() {
	o := d.settings.Orders
	d.leaseKeeper = lrlease.NewKeeper(d.ports.Store, lrlease.Options{
		Name: rolloutLease, Instance: d.settings.Instance.Name, Validity: o.LeaseValidity, TurnInterval: o.Turn() + lrweights.OrderTimeout,
	}, lrclock.BootTime)
	d.weights = lrweights.NewUpdater(lrweights.Dependencies{
		Instance: d.settings.Instance.Name, Keeper: d.leaseKeeper, Engines: d.ports.Engines, Directory: d.directory, Balancer: d.balancer,
		Options:    lrrollout.Options{MinAtOnce: o.MinAtOnce, Share: o.Share, LateShare: o.LateShare, LateAfter: o.LateAfter, Deadline: o.VersionDeadline},
		LeaseClock: lrclock.BootTime, Observer: d.metrics, Go: d.supervisor.Go, Log: d.log,
		Report: func(now time.Time, update lrfleet.WeightsUpdate) { d.sharer.ReportWeights(now, update) },
	})
	d.supervisor.Add("keepLease", lrsupervise.Every(leaseCheckInterval, d.keepLease))
	d.supervisor.Add("rollOut", lrsupervise.Every(rolloutInterval, d.weights.Step))
}

// keepLease renews the lease, or tries to acquire it while no other instance is known to hold it. A draining instance leaves the
// lease to the others.
func (d *Daemon) keepLease(ctx context.Context, now time.Time) {
	if d.draining.Load() {
		return
	}
	rank := d.sharer.Rank(now)
	c := leaseCandidate{
		rank: rank, delay: rankDelay(rank, d.sharer.PropagationDelay()), isStandby: d.sharer.IsFirstOfZone(),
		isHolder: d.weights.IsHolder(now), knowsHolder: d.sharer.HasOtherHolder(now), expiredAt: d.leaseKeeper.ExpiredAt(lrclock.BootTime()),
	}
	if d.schedule.isDue(now, c) {
		d.stepLease(ctx)
	}
}

func (d *Daemon) stepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Orders.LeaseValidity)
	defer cancel()
	err := d.leaseKeeper.Step(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("weights: lease not confirmed")
	}
}
