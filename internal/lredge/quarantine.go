package lredge

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

const (
	// verdictInterval is the time between two reads of all stored verdicts by all instances together. Other instances tell of new ones
	// much sooner.
	verdictInterval = 3 * time.Second
	// saveVerdictsInterval is the time between two checks for verdicts to store.
	saveVerdictsInterval = 250 * time.Millisecond
	// forgetVerdictsInterval is the time between two checks for stored verdicts that are no longer held.
	forgetVerdictsInterval = time.Minute
)

// wireQuarantine creates the tracker of requests that crash backend servers. Its verdicts are stored in the platform, so that they outlast
// a restart of all instances.
func (d *Daemon) wireQuarantine() {
	options := lrquarantine.DefaultTrackerOptions(d.settings.Instance.Name)
	options.OnDecision = d.verdictDecided
	d.quarantine = lrquarantine.NewTracker(d.clock(), options)
	d.verdicts = lrfleet.NewFollower(d.ports.Verdicts, d.followerOptions(feedVerdicts, verdictInterval), d.log, d.newVerdictReader())
	d.supervisor.Add("followVerdicts", d.verdicts.Run)
	d.supervisor.Add("refreshVerdicts", d.verdicts.RunRefresh)
	d.supervisor.Add("saveVerdicts", lrsupervise.Every(saveVerdictsInterval, d.saveVerdicts))
	d.supervisor.Add("forgetVerdicts", lrsupervise.Every(forgetVerdictsInterval, d.forgetVerdicts))
}

// verdictDecided logs and counts a verdict that took effect.
func (d *Daemon) verdictDecided(v lrquarantine.Verdict) {
	d.metrics.verdictDecided(v.IsQuarantined)
	d.log.Warn().Str("trait", v.Trait.String()).Bool("quarantined", v.IsQuarantined).Bool("ambiguous", v.IsAmbiguous).
		Uint32("crashes", v.Crashes).Uint32("trials", v.Trials).Uint32("version", v.Version).Msg("quarantine: verdict")
}

// newVerdictReader returns a function that applies the stored verdicts that it has not applied before.
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
	}
}

// saveVerdicts stores the verdicts that this instance has decided.
func (d *Daemon) saveVerdicts(ctx context.Context, _ time.Time) {
	for _, v := range d.quarantine.Unsaved() {
		err := d.saveVerdict(ctx, v)
		if err != nil {
			d.log.Warn().Err(err).Str("trait", v.Trait.String()).Msg("quarantine: verdict not stored yet")
			continue
		}
		d.quarantine.Saved(v)
	}
}

// saveVerdict stores the verdict, unless one of the same or a higher version is stored.
func (d *Daemon) saveVerdict(ctx context.Context, v lrquarantine.Verdict) error {
	value, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode verdict: %w", err)
	}
	name := v.Trait.String()
	_, err = d.ports.Store.Create(ctx, d.ports.VerdictsKind, name, value)
	if !lrplatform.ErrConflict.Has(err) {
		return err
	}
	object, err := d.ports.Store.Get(ctx, d.ports.VerdictsKind, name)
	if err != nil {
		return err
	}
	var stored lrquarantine.Verdict
	err = json.Unmarshal(object.Value, &stored)
	if err == nil && stored.Version >= v.Version {
		return nil
	}
	_, err = d.ports.Store.Update(ctx, object.WithValue(value))
	return err
}

// forgetVerdicts deletes the stored verdicts that are no longer held. One instance does it for all.
func (d *Daemon) forgetVerdicts(ctx context.Context, now time.Time) {
	if d.sharer.Rank(now) > 0 {
		return
	}
	for name, v := range d.verdicts.Snapshot().Set {
		if d.quarantine.Knows(now, v.Trait) {
			continue
		}
		err := d.deleteVerdict(ctx, name)
		if err != nil {
			d.log.Warn().Err(err).Str("trait", name).Msg("quarantine: old verdict not deleted")
		}
	}
}

func (d *Daemon) deleteVerdict(ctx context.Context, name string) error {
	object, err := d.ports.Store.Get(ctx, d.ports.VerdictsKind, name)
	if lrplatform.ErrNotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return d.ports.Store.Delete(ctx, object)
}
