package lrfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

// testOrder returns an order that all instances of a test know.
func testOrder() lrcanary.Entry {
	return lrcanary.Entry{Name: "s", To: "v2", Duration: time.Minute, Revision: 1}
}

// orderRollout makes all instances know the order and the servers.
func (f *testFleet) orderRollout() {
	for _, s := range f.sharers {
		f.orderAt(s)
	}
}

func (f *testFleet) orderAt(s *Sharer) {
	s.Releases.SetServers(map[string][]lrcanary.Server{"s": {{ID: "old", Release: "v1"}, {ID: "new", Release: "v2"}}})
	s.Releases.SetEntries(f.now, map[string]lrcanary.Entry{"s": testOrder()})
}

// observe begins the observation on the instance, as its holder does.
func (f *testFleet) observe(s *Sharer) {
	for range 2 {
		for _, w := range s.Releases.Drive(f.now, lrcanary.Holder{Fence: 1, Instances: len(f.sharers)}) {
			s.Releases.Stored(f.now, w, 1, 2)
		}
	}
}

// answer records answers of the old server at the instance.
func (f *testFleet) answer(s *Sharer, count int) {
	for range count {
		a := s.Releases.Assign(f.now, "s", false)
		s.Releases.Record(a, lrcanary.Server{ID: "old", Release: "v1"}, "r", lrcanary.Outcome{Whole: time.Millisecond})
		s.Releases.End(a)
	}
}

func (f *testFleet) requireAnswers(t *testing.T, want int64) {
	t.Helper()
	for _, s := range f.sharers {
		if !f.dead[s.Self.Name] {
			requireEqual(t, s.Self.Name, s.Releases.Statuses(f.now)[0].Old.Answers, want)
		}
	}
}

// TestEvidenceOfAllInstancesAddsUp guards against evidence that is lost or counted twice on its way through the relays, also when an instance
// restarts or ends, a relay ends, or a zone is cut off for a while.
func TestEvidenceOfAllInstancesAddsUp(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	f.orderRollout()
	f.observe(f.sharers[0])
	f.run(2 * time.Second)
	for n, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Releases.Statuses(f.now)[0].Stage, lrcanary.Observing)
		f.answer(s, n+1)
	}
	f.run(2 * time.Second)
	f.requireAnswers(t, 45)
	t.Run("member ends", func(t *testing.T) {
		f.dead["b2"] = true
		f.run(2 * time.Second)
		f.requireAnswers(t, 45)
	})
	t.Run("relay ends", func(t *testing.T) {
		f.dead["c0"] = true
		f.run(3 * time.Second)
		f.requireAnswers(t, 45)
		f.answer(f.find("c1"), 5)
		f.run(2 * time.Second)
		f.requireAnswers(t, 50)
	})
	t.Run("zone is cut off", func(t *testing.T) {
		f.isPartitioned = func(a, b string) bool { return (a == "a") != (b == "a") }
		f.run(2 * time.Second)
		f.answer(f.find("a1"), 7)
		f.answer(f.find("b0"), 3)
		f.run(2 * time.Second)
		f.isPartitioned = func(string, string) bool { return false }
		f.run(3 * time.Second)
		f.requireAnswers(t, 60)
	})
	t.Run("member restarts", func(t *testing.T) {
		for n, s := range f.sharers {
			if s.Self.Name == "a2" {
				self := s.Self
				self.Process = "a2.2"
				f.sharers[n] = f.newSharer(self)
				f.sharers[n].peers = s.peers
				f.orderAt(f.sharers[n])
			}
		}
		f.run(2 * time.Second)
		f.answer(f.find("a2"), 4)
		f.run(2 * time.Second)
		requireEqual(t, "answers", f.find("b0").Releases.Statuses(f.now)[0].Old.Answers, 64)
		requireEqual(t, "answers", f.find("a1").Releases.Statuses(f.now)[0].Old.Answers, 64)
	})
}

// TestVerdictOutlivesItsInstance guards against a verdict that is lost with the instance that has found it.
func TestVerdictOutlivesItsInstance(t *testing.T) {
	f := newTestFleet(2)
	f.run(2 * time.Second)
	f.orderRollout()
	f.run(time.Second)
	f.find("c1").Releases.Merge(f.now, []lrcanary.News{{Order: testOrder().Order(), Stage: lrcanary.Rejected, Verdict: "failures"}})
	f.run(400 * time.Millisecond)
	f.dead["c1"] = true
	f.run(time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Releases.Statuses(f.now)[0].Stage, lrcanary.Rejected)
	}
}

// TestAcknowledgementsOfAllInstancesAddUp guards against old servers that stop while an instance may still send to them: the gauges must hold
// each instance once, and those that end not at all.
func TestAcknowledgementsOfAllInstancesAddUp(t *testing.T) {
	for _, perZone := range []int{1, 4, 20} {
		t.Run(fmt.Sprint(3*perZone, " instances"), func(t *testing.T) {
			f := newTestFleet(perZone)
			f.run(2 * time.Second)
			f.orderRollout()
			news := lrcanary.News{Order: testOrder().Order(), Stage: lrcanary.Full, HasHolder: true}
			running := f.sharers[1].Releases.Assign(f.now, "s", true)
			for end := f.now.Add(3 * time.Second); f.now.Before(end); f.run(500 * time.Millisecond) {
				f.sharers[0].Releases.Merge(f.now, []lrcanary.News{news})
			}
			for _, s := range f.sharers {
				requireEqual(t, s.Self.Name, s.Releases.Statuses(f.now)[0].Sum, lrcanary.Gauge{Acknowledged: 3 * perZone, RunningOld: 1})
			}
			f.sharers[1].Releases.End(running)
			f.dead[f.sharers[len(f.sharers)-1].Self.Name] = true
			f.run(2 * time.Second)
			requireEqual(t, "sum", f.sharers[0].Releases.Statuses(f.now)[0].Sum, lrcanary.Gauge{Acknowledged: 3*perZone - 1})
		})
	}
}
