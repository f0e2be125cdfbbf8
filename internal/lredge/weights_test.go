package lredge

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// newWeightsDaemon returns a daemon that starts at the time, under a deadline of 6 s for newer weights, with one engine with version 2 of a
// model and one with version 3.
func newWeightsDaemon(startedAt time.Time) *Daemon {
	settings := lrsettings.Default()
	settings.Instance.Name, settings.Instance.Zone, settings.Orders.VersionDeadline = "edge-1", "a", 6*time.Second
	d := New(settings, Ports{Store: lrplatform.NewMemory(), InstancesKind: "instances"}, func() time.Time { return startedAt }, zerolog.Nop())
	d.directory.SetServers(map[string]lrfleet.Server{
		"new": {ID: "new", Service: "s", Versions: map[string]int64{"m": 3}}, "old": {ID: "old", Service: "s", Versions: map[string]int64{"m": 2}},
	})
	return d
}

// read applies a list of the desired versions from the platform.
func (d *Daemon) read(now time.Time, revision uint64, versions ...int64) {
	listed := map[string]lrfleet.DesiredVersion{}
	for _, v := range versions {
		listed["m"] = lrfleet.DesiredVersion{Model: "m", Version: v}
	}
	d.desired.Replace(now, lrfleet.Changes[lrfleet.DesiredVersion]{Set: listed, Revision: revision})
}

// requireOutdated checks for how long newer weights than its own count as desired for each engine.
func (d *Daemon) requireOutdated(t *testing.T, now time.Time, wantNew, wantOld time.Duration) {
	t.Helper()
	candidates := d.directory.Candidates(now, "s", "m")
	if candidates[0].OutdatedFor != wantNew || candidates[1].OutdatedFor != wantOld {
		t.Errorf("outdated for %v and %v, want %v and %v", candidates[0].OutdatedFor, candidates[1].OutdatedFor, wantNew, wantOld)
	}
}

// TestAgeOfWeightsAtStart guards against an instance that starts and counts the time for which weights have been desired from its first read:
// after a power loss of all instances, requests began on older weights after the deadline.
func TestAgeOfWeightsAtStart(t *testing.T) {
	start := time.Unix(1000, 0)
	read := start.Add(300 * time.Millisecond)
	t.Run("in a roll-out, all instances at once", func(t *testing.T) {
		d := newWeightsDaemon(start)
		d.read(read, 7, 3)
		d.requireOutdated(t, read, 0, 3300*time.Millisecond)
		// Engines with older weights are out of use before the instance has run for the grace, whenever the version was named.
		limit := outdatedLimit(d.settings.Orders.VersionDeadline)
		d.requireOutdated(t, start.Add(2*time.Second), 0, limit)
	})
	t.Run("in calm", func(t *testing.T) {
		d := newWeightsDaemon(start)
		d.read(read, 7, 2)
		d.requireOutdated(t, start.Add(time.Hour), 0, 0)
		d.read(start.Add(time.Hour), 8, 3)
		d.requireOutdated(t, start.Add(time.Hour), 0, 0)
	})
	t.Run("before the first version", func(t *testing.T) {
		d := newWeightsDaemon(start)
		d.read(read, 7)
		d.read(read.Add(time.Second), 8, 3)
		d.requireOutdated(t, read.Add(time.Second), 0, 0)
	})
	t.Run("one instance alone", func(t *testing.T) {
		d := newWeightsDaemon(start)
		d.read(read, 7, 3)
		d.directory.RecordDesiredAge(read, lrfleet.DesiredAge{DesiredVersion: lrfleet.DesiredVersion{Model: "m", Version: 3}, Age: time.Second})
		d.requireOutdated(t, read, 0, time.Second)
	})
	t.Run("without a deadline", func(t *testing.T) {
		d := newWeightsDaemon(start)
		d.settings.Orders.VersionDeadline = 0
		d.read(read, 7, 3)
		d.requireOutdated(t, read, 0, 0)
	})
}
