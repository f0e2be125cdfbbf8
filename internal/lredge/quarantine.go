package lredge

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	quarantine "github.com/lavenderrouter/lavenderrouter/internal/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

const (
	// verdictInterval is the time between two reads of all stored verdicts by all instances together. Other instances tell of new ones
	// much sooner.
	verdictInterval = 3 * time.Second
	// saveVerdictsInterval is the time between two checks for verdicts to store.
	saveVerdictsInterval = 250 * time.Millisecond
	// confirmVerdictDelay is the time within which the list shows a verdict that has been stored. A store that comes back from an older
	// copy may lose it before.
	confirmVerdictDelay = 10 * time.Second
	// retryVerdictDelay is the time between two attempts to store a verdict.
	retryVerdictDelay = time.Second
	// forgetVerdictsInterval is the time between two checks for stored verdicts that are no longer held.
	forgetVerdictsInterval = time.Minute
)

// wireQuarantine creates the tracker of requests that crash backend servers. Its verdicts are stored in the platform, so that they outlast
// a restart of all instances.
func (d *Daemon) wireQuarantine() {
	options := lrquarantine.DefaultTrackerOptions(d.settings.Instance.Name)
	options.OnDecision = d.verdictDecided
	d.quarantine = lrquarantine.NewTracker(d.clock(), options)
	d.verdicts = lrfleet.NewFollower(d.ports.Verdicts, followerOptions[lrquarantine.Verdict](d, feedVerdicts, verdictInterval), d.log, d.newVerdictReader())
	d.supervisor.Add("followVerdicts", d.verdicts.Run)
	d.supervisor.Add("refreshVerdicts", d.verdicts.RunRefresh)
	d.supervisor.Add("saveVerdicts", lrsupervise.Every(saveVerdictsInterval, d.saveVerdicts))
	d.supervisor.Add("forgetVerdicts", lrsupervise.Every(forgetVerdictsInterval, d.newVerdictCleaner(options.Retention)))
}

// verdictDecided logs and counts a verdict that took effect.
func (d *Daemon) verdictDecided(v lrquarantine.Verdict) {
	d.metrics.verdictDecided(v.IsQuarantined)
	d.log.Warn().Str("trait", v.Trait.String()).Bool("quarantined", v.IsQuarantined).Bool("ambiguous", v.IsAmbiguous).
		Uint32("crashes", v.Crashes).Uint32("trials", v.Trials).Uint32("version", v.Version).Msg("quarantine: verdict")
}

// newVerdictReader returns a function that applies the stored verdicts that it has not applied before, and has those stored again that the
// store has lost. Of the instances that hold one, the first by rank stores it.
func (d *Daemon) newVerdictReader() func(now time.Time, entries map[string]lrquarantine.Verdict) {
	applied := map[string]uint32{}
	return func(now time.Time, entries map[string]lrquarantine.Verdict) {
		var updates lrquarantine.Updates
		for name, v := range entries {
			if applied[name] < v.Version {
				updates.Verdicts = append(updates.Verdicts, lrquarantine.VerdictUpdate{Verdict: v})
			}
		}
		clear(applied)
		for name, v := range entries {
			applied[name] = v.Version
		}
		d.quarantine.Merge(now, updates)
		d.quarantine.SaveLost(now, func(trait lrquarantine.Trait) (lrquarantine.Verdict, bool) {
			v, ok := entries[trait.String()]
			return v, ok
		}, d.rankDelay())
	}
}

// saveVerdicts stores the verdicts that this instance has decided or that the store has lost, until the list shows them.
func (d *Daemon) saveVerdicts(ctx context.Context, now time.Time) {
	unsaved := d.quarantine.Unsaved(now)
	if len(unsaved) == 0 {
		return
	}
	store, stored := d.verdictStore(), d.verdicts.Snapshot().Set
	for _, v := range unsaved {
		if stored[v.Trait.String()].Version >= v.Version {
			d.quarantine.Saved(v)
			continue
		}
		err := store.Save(ctx, v, v)
		if err != nil {
			d.log.Warn().Err(err).Str("trait", v.Trait.String()).Msg("quarantine: verdict not stored yet")
			d.quarantine.SaveAt(now.Add(retryVerdictDelay), v)
			continue
		}
		d.quarantine.SaveAt(now.Add(confirmVerdictDelay), v)
	}
}

// newVerdictCleaner returns a function that deletes the stored verdicts that are no longer held. One instance does it for all, once it has
// been running for as long as verdicts are held.
func (d *Daemon) newVerdictCleaner(retention time.Duration) func(ctx context.Context, now time.Time) {
	startedAt := d.clock()
	return func(ctx context.Context, now time.Time) {
		if d.sharer.Rank(now) > 0 || now.Sub(startedAt) < retention {
			return
		}
		for _, v := range d.verdicts.Snapshot().Set {
			if !d.quarantine.Knows(now, v.Trait) {
				d.deleteVerdict(ctx, v.Trait)
			}
		}
	}
}

func (d *Daemon) deleteVerdict(ctx context.Context, trait lrquarantine.Trait) {
	err := d.verdictStore().Delete(ctx, trait)
	if err != nil {
		d.log.Warn().Err(err).Str("trait", trait.String()).Msg("quarantine: old verdict not deleted")
	}
}

func (d *Daemon) verdictStore() quarantine.VerdictStore {
	return quarantine.VerdictStore{Objects: d.ports.Store, Kind: d.ports.VerdictsKind}
}
