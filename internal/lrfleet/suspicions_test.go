package lrfleet

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

func (f *testFleet) suspectedBy(server string) int {
	count := 0
	for _, s := range f.sharers {
		for _, id := range s.Responses.Suspected(f.now) {
			if id == server {
				count++
			}
		}
	}
	return count
}

// TestSuspicionReachesAllInstances guards against instances that go on sending requests to an engine that another one has found silent, and
// against a suspicion that outlives the first byte from the engine or lives on by being passed on.
func TestSuspicionReachesAllInstances(t *testing.T) {
	for _, perZone := range []int{3, 20} {
		f := newTestFleet(perZone)
		f.run(2 * time.Second)
		first := f.sharers[0].Responses
		suspect := func() {
			first.Merge(f.now, lrretry.Report{Suspicions: []lrretry.SuspicionUpdate{{Server: "e1", DoubtAge: -1, TrialAge: -1}}})
		}
		suspect()
		f.run(time.Second)
		requireEqual(t, "instances that suspect", f.suspectedBy("e1"), len(f.sharers))
		answered := f.find("c2").Responses.Sent(f.now, lrretry.AttemptOptions{Server: "e1", Service: "s"})
		answered.Received(f.now, true)
		f.run(time.Second)
		requireEqual(t, "instances that suspect after a byte", f.suspectedBy("e1"), 0)
		suspect()
		f.run(6500 * time.Millisecond)
		requireEqual(t, "instances that suspect without confirmation", f.suspectedBy("e1"), 0)
	}
}
