package lrquarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// partFleet is a set of services that can reach each other and share a clock.
type partFleet struct {
	services []*Service
	now      time.Time
	requests int
}

func newPartFleet(t *testing.T, count int) *partFleet {
	t.Helper()
	f := &partFleet{now: time.Unix(1000, 0)}
	f.services = newServices(t, f.now, count)
	for _, s := range f.services {
		s.options.Clock = func() time.Time { return f.now }
		s.options.Store = f.services[0].options.Store
	}
	return f
}

func (f *partFleet) request(parts ...string) lrquarantine.Request {
	f.requests++
	return lrquarantine.NewRequest(fmt.Sprint("request ", f.requests), parts...)
}

// tell lets all services tell their news.
func (f *partFleet) tell() {
	for range 5 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, s := range f.services {
			s.TellNews(context.Background(), f.now)
		}
	}
}

// crash makes engines crash on requests with the part, of which each service observes one after the other.
func (f *partFleet) crash(part string, crashes int) {
	for n := range crashes {
		f.services[n%len(f.services)].Parts.Crashed(f.now, fmt.Sprint("engine-", n), f.request("first", part))
		f.tell()
	}
	for n := range 10 {
		for _, s := range f.services {
			s.Parts.Completed(f.now, f.request("first", fmt.Sprint("sound ", n)))
		}
	}
	f.tell()
	f.tell()
}

func (f *partFleet) requireAdmission(t *testing.T, want lrquarantine.Admission, parts ...string) {
	t.Helper()
	for _, s := range f.services {
		got := s.Parts.Check(f.now, f.request(parts...)).Admission
		if got != want {
			t.Fatalf("%s: admission of %v: got %v, want %v", s.options.Membership.Self().Name, parts, got, want)
		}
	}
}

// TestCrashesOfPartsReachAllInstances guards against a part that crashes engines on each instance anew, and against one that stays rejected
// elsewhere after an instance has seen it completed.
func TestCrashesOfPartsReachAllInstances(t *testing.T) {
	t.Run("no instance sees more than one crash", func(t *testing.T) {
		f := newPartFleet(t, 4)
		f.crash("crashing", 4)
		f.requireAdmission(t, lrquarantine.Rejected, "first", "crashing")
		f.requireAdmission(t, lrquarantine.Admitted, "first", "other")
	})
	t.Run("a completed request ends the quarantine on all instances", func(t *testing.T) {
		f := newPartFleet(t, 3)
		f.crash("part", 3)
		f.requireAdmission(t, lrquarantine.Rejected, "first", "part")
		f.services[2].Parts.Completed(f.now, f.request("first", "part"))
		f.tell()
		f.requireAdmission(t, lrquarantine.Admitted, "first", "part")
	})
	t.Run("an instance that missed the news asks for it", func(t *testing.T) {
		f := newPartFleet(t, 2)
		late := f.services[1]
		f.services = f.services[:1]
		f.crash("crashing", 3)
		f.requireAdmission(t, lrquarantine.Rejected, "first", "crashing")
		late.Parts = lrquarantine.NewTracker(f.now, DefaultPartOptions("late"))
		f.services = append(f.services, late)
		late.AskVerdicts(context.Background(), f.now)
		f.requireAdmission(t, lrquarantine.Rejected, "first", "crashing")
	})
	t.Run("the platform keeps verdicts until they expire", func(t *testing.T) {
		f := newPartFleet(t, 1)
		f.crash("crashing", 3)
		s := f.services[0]
		s.Parts = lrquarantine.NewTracker(f.now, DefaultPartOptions("restarted"))
		s.Refresh(context.Background(), f.now)
		f.requireAdmission(t, lrquarantine.Rejected, "first", "crashing")
		s.Parts = lrquarantine.NewTracker(f.now, DefaultPartOptions("restarted later"))
		f.now = f.now.Add(lrquarantine.DefaultOptions().QuarantineValidity)
		s.Refresh(context.Background(), f.now)
		f.requireAdmission(t, lrquarantine.Admitted, "first", "crashing")
	})
}
