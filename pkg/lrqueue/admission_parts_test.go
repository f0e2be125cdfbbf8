package lrqueue

import (
	"fmt"
	"testing"
	"time"
)

// TestReturningCallerIsRecognized guards against a second refusal of a caller that returns to the same instance or to another one, and against
// requests that pass for returns where all callers allow different times.
func TestReturningCallerIsRecognized(t *testing.T) {
	first := Arrival{Route: "r", Digest: "d", TimeLeft: 3 * time.Second}
	second := first
	second.TimeLeft = 2 * time.Second
	now := time.Unix(1000, 0)
	refused := newReturningCallers()
	requireEqual(t, refused.isReturning(now, first), false, "the first attempt returns")
	refused.add(now, first)
	requireEqual(t, refused.isReturning(now.Add(time.Second), first), true, "the second attempt at the instance returns")
	other := newReturningCallers()
	for range 10 {
		requireEqual(t, other.isReturning(now, Arrival{Route: "r", Digest: "e", TimeLeft: 3 * time.Second}), false, "a first attempt returns")
	}
	requireEqual(t, other.isReturning(now, second), true, "the second attempt at another instance returns")
	returning := 0
	for n := range 100 {
		if newReturningOf(n).isReturning(now, second) {
			returning++
		}
	}
	requireEqual(t, returning, 0, "callers that allow different times")
}

// newReturningOf returns returningCallers that have seen callers that allow different times.
func newReturningOf(seed int) *returningCallers {
	c := newReturningCallers()
	for n := range 50 {
		c.isReturning(time.Unix(1000, 0), Arrival{Route: "r", TimeLeft: 4*time.Second - time.Duration(seed+100*n)*time.Millisecond/2})
	}
	return c
}

// TestRefusedCallersAreBounded guards against memory that grows with the number of refused callers and of accounts.
func TestRefusedCallersAreBounded(t *testing.T) {
	a, now := newBusyAdmission()
	for n := range 20_000 {
		arrival := newArrival(0, 400*time.Millisecond, time.Second)
		arrival.Digest, arrival.Account = fmt.Sprint(n), fmt.Sprint(n)
		a.Decide(now.Add(time.Duration(n)*time.Millisecond), arrival, isBusy)
	}
	requireEqual(t, len(a.returns.refused) <= maxReturning && len(a.returns.former) <= maxReturning, true, "callers are bounded")
	requireEqual(t, len(a.services["s"].accounts.loads) <= maxAccounts, true, "accounts are bounded")
}

// TestFairLevel guards against a level that lets accounts below it be refused, or that refuses more or less than the part.
func TestFairLevel(t *testing.T) {
	now, l := time.Unix(1000, 0), newAccountLoads()
	works := map[string]float64{"a": 10, "b": 20, "c": 70}
	for name, work := range works {
		l.add(now, name, work)
	}
	for part, want := range map[float64]map[string]float64{
		0:   {"a": 1, "b": 1, "c": 1},
		0.4: {"a": 1, "b": 1, "c": 30.0 / 70},
		0.7: {"a": 1, "b": 0.5, "c": 10.0 / 70},
	} {
		for name, keep := range want {
			got := l.keep(now, name, &fairLevel{}, part)
			requireEqual(t, got > keep-1e-9 && got < keep+1e-9, true, fmt.Sprint("kept of ", name, " for ", part, ": ", got))
		}
	}
}

// TestPlainRequestsAreRefusedForTheQueueAlone guards against plain requests that are refused by the cost of their placement, which is no time,
// and against ones that are accepted behind a queue that they cannot pass in time.
func TestPlainRequestsAreRefusedForTheQueueAlone(t *testing.T) {
	a, now := NewAdmission(1), time.Unix(1000, 0)
	plain := Arrival{
		Service: "s", Route: "r", Work: 1, IsPlain: true, Wait: time.Second, Slots: 6, Target: 120 * time.Millisecond, TimeLeft: 800 * time.Millisecond,
	}
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		requireEqual(t, a.Decide(now, plain, isBusy).Reason, InTime, "reason with a free slot")
		a.Observe(now, plain, 15*time.Millisecond)
	}
	plain.Ahead = 80
	refused := 0
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		if !a.Decide(now, plain, isBusy).IsAccepted() {
			refused++
		}
	}
	requireEqual(t, refused > 25, true, "most are refused behind a long queue")
	requireEqual(t, a.Decide(now, plain, isIdle).IsAccepted(), true, "accepted while other servers are free")
}
