package lrfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const (
	testDeadline = 6 * time.Second
	testGrace    = 3 * time.Second
	// exchanges is the time in which all instances have told one another several times.
	exchanges = 500 * time.Millisecond
)

// newWantedFleet returns a fleet of three zones in which version 2 of the weights is desired by all for 3 s and version 3 for 1 s.
func newWantedFleet(perZone int) *testFleet {
	f := newTestFleet(perZone)
	for _, s := range f.sharers {
		s.Directory.SetDesired(f.now.Add(-3*time.Second), "m", 2)
		s.Directory.SetDesired(f.now.Add(-time.Second), "m", 3)
	}
	return f
}

// forgetAges gives the instance an empty directory, as after a power loss, and lets it read the desired version from the platform.
func (f *testFleet) forgetAges(s *Sharer) {
	s.Directory = NewDirectory(zerolog.Nop())
	s.Directory.AssumeDesired(f.now.Add(testGrace-testDeadline), "m", 3)
}

// TestAllInstancesForgetAgeOfWeights guards against requests that begin on older weights after the deadline: all instances lost power, each
// counted the time for which the version has been desired from its own start, and none could tell the others better. The deadline must be over
// before the grace is.
func TestAllInstancesForgetAgeOfWeights(t *testing.T) {
	for _, perZone := range []int{1, 4, 140} {
		t.Run(fmt.Sprint(3*perZone, " instances"), func(t *testing.T) {
			f := newWantedFleet(perZone)
			for _, s := range f.sharers {
				f.forgetAges(s)
			}
			f.run(exchanges)
			f.now = f.now.Add(testGrace - exchanges)
			for _, s := range f.sharers {
				if age := s.Directory.OutdatedFor(f.now, "m", 2); age < testDeadline {
					t.Fatalf("%s takes version 3 for desired since %v, %v after the start", s.Self.Name, age, testGrace)
				}
			}
		})
	}
}

// TestOneInstanceLearnsAgeOfWeights guards against an instance that starts alone and treats engines as overdue, or as just outdated, although
// the others know since when newer weights are desired, also long ago.
func TestOneInstanceLearnsAgeOfWeights(t *testing.T) {
	for _, later := range []time.Duration{0, 4 * time.Second, time.Minute} {
		t.Run(later.String(), func(t *testing.T) {
			f := newWantedFleet(4)
			f.run(later)
			started := f.sharers[len(f.sharers)-1]
			f.forgetAges(started)
			f.run(time.Second)
			requireEqual(t, "version 2", started.Directory.OutdatedFor(f.now, "m", 2), later+2*time.Second)
			wantFirst := later + 4*time.Second
			if later > maxDesiredAge {
				wantFirst = later + 2*time.Second
			}
			requireEqual(t, "version 1", started.Directory.OutdatedFor(f.now, "m", 1), wantFirst)
			requireEqual(t, "version 3", started.Directory.OutdatedFor(f.now, "m", 3), 0)
		})
	}
}

// TestAssumedAgeIsNotTold guards against a guess that is taken for knowledge: instances that restart one after the other, while none of them
// knows, must each keep their own, and a version that is named later is exact.
func TestAssumedAgeIsNotTold(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(zerolog.Nop())
	d.AssumeDesired(now.Add(-testGrace), "m", 3)
	requireEqual(t, "told", len(d.DesiredAges(now)), 0)
	d.SetDesired(now, "m", 3)
	requireEqual(t, "version 3 read again", d.OutdatedFor(now, "m", 2), testGrace)
	d.SetDesired(now, "m", 4)
	requireEqual(t, "told", len(d.DesiredAges(now)), 1)
	requireEqual(t, "version 3", d.OutdatedFor(now, "m", 3), 0)
	d.RecordDesiredAge(now, DesiredAge{DesiredVersion: DesiredVersion{Model: "m", Version: 3}, Age: time.Second})
	requireEqual(t, "version 2 once told", d.OutdatedFor(now, "m", 2), time.Second)
}

// TestAgeOfVersionNamedMeanwhileIsZero guards against an age below zero that wraps round when it is sent: a version that is read while a message
// is being made up was told as desired for weeks, so that all engines with older weights were out of use at once.
func TestAgeOfVersionNamedMeanwhileIsZero(t *testing.T) {
	f := newTestFleet(1)
	s := f.sharers[0]
	s.Directory.SetDesired(f.now.Add(5*time.Millisecond), "m", 2)
	state, _ := s.stateFor(f.now, s.peers["b0"])
	requireEqual(t, "notes", len(state.GetWanted()), 1)
	requireEqual(t, "age", state.GetWanted()[0].GetAgeMillis(), 0)
}
