package lrfleet

import (
	"testing"
	"time"
)

// TestResidencyFollowsWhatComesIn tells how long a store keeps a part from what came in after it.
func TestResidencyFollowsWhatComesIn(t *testing.T) {
	const capacity = 1_000_000
	cases := []struct {
		name    string
		first   KeptSign
		known   time.Duration
		perLook int
		looks   int
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"an empty store that is not full yet", KeptSign{}, 0, 10_000, 50, maxResidency, maxResidency},
		{"a full store", KeptSign{}, 0, 50_000, 100, 19 * KeptProbePeriod, 21 * KeptProbePeriod},
		{"a store that held something when the looks began", KeptSign{Added: 5}, 0, 1000, 10, firstResidency, firstResidency + 10*KeptProbePeriod},
		{"a store of which others tell", KeptSign{Added: 5}, 20 * time.Second, 1000, 10, 20 * time.Second, 20*time.Second + 10*KeptProbePeriod},
		{"a store into which nothing comes any more", KeptSign{Added: 5}, time.Second, 0, 1000, 1000 * KeptProbePeriod, 1004 * KeptProbePeriod},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			look := keptLook{}.withSign(now, capacity, c.first, c.known)
			for range c.looks {
				now = now.Add(KeptProbePeriod)
				look = look.withSign(now, capacity, KeptSign{Added: c.perLook}, c.known)
			}
			got := look.residency(now, capacity)
			requireTrue(t, got >= c.atLeast && got <= c.atMost, "got %s, want %s to %s", got, c.atLeast, c.atMost)
			requireTrue(t, len(look.inflow) <= c.looks && look.held < 2*capacity, "%d looks of %d tokens are remembered", len(look.inflow), look.held)
		})
	}
}

// TestBurstOfSavesEndsNoBelief saves many parts at once, as after new weights, into a store that has room for them.
func TestBurstOfSavesEndsNoBelief(t *testing.T) {
	const capacity = 1_000_000
	now := time.Unix(1000, 0)
	look := keptLook{}.withSign(now, capacity, KeptSign{}, 0)
	for range 3 {
		now = now.Add(KeptProbePeriod)
		look = look.withSign(now, capacity, KeptSign{Added: 200_000}, 0)
	}
	requireTrue(t, look.residency(now, capacity) == maxResidency, "parts are taken to go after %s", look.residency(now, capacity))
}

// TestRestartBeginsAnew forgets what came in before the store started anew.
func TestRestartBeginsAnew(t *testing.T) {
	const capacity = 1_000_000
	now := time.Unix(1000, 0)
	look := keptLook{}.withSign(now, capacity, KeptSign{Epoch: 1}, 0)
	look = look.withSign(now.Add(time.Second), capacity, KeptSign{Epoch: 1, Added: 2 * capacity}, 0)
	look = look.withSign(now.Add(2*time.Second), capacity, KeptSign{Epoch: 2}, time.Second)
	requireTrue(t, look.residency(now.Add(3*time.Second), capacity) == maxResidency, "an empty store keeps parts for %s", look.residency(now.Add(3*time.Second), capacity))
}
