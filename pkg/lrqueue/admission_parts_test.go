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

// TestFairLevel guards against a level that lets accounts below it be refused, or that is not what the servers complete, and against an account
// far above it that loses its urgent requests before the others.
func TestFairLevel(t *testing.T) {
	now, l := time.Unix(1000, 0), newAccountLoads()
	for range leastShareCount {
		l.add(now, "a", 0, 1)
		l.add(now, "b", 0, 2)
		l.add(now, "c", 0, 4)
		l.add(now, "c", 2, 8)
		for _, load := range l.loads {
			load.all.add(now, true)
		}
	}
	requireEqual(t, l.level(now, 1000), 8*15.0, "level with enough capacity")
	requireEqual(t, l.level(now, 8*8), 8*5.0, "level of what is left after the smaller accounts")
	for _, c := range []struct {
		account string
		urgency int
		keep    float64
		isOver  bool
	}{{"a", 0, 1, false}, {"b", 0, 1, false}, {"c", 0, 1, true}, {"c", 2, 1.0 / 8, true}} {
		keep, isOver := l.loads[c.account].keep(now, c.urgency, 8*5)
		requireEqual(t, isOver, c.isOver, "whether the account is far above the level")
		requireEqual(t, keep, c.keep, fmt.Sprint("kept of ", c.account, " at urgency ", c.urgency))
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

// TestErrorOfTheEstimateIsLearned guards against an estimate that stays wrong: too short since reports are late, or too long since urgent requests
// are served first, also where the long estimates themselves are refused. It guards against a few outliers that decide alone, and against errors
// that are never forgotten.
func TestErrorOfTheEstimateIsLearned(t *testing.T) {
	const target = 400 * time.Millisecond
	cases := []struct {
		name                               string
		estimated, observed, asked, lo, hi time.Duration
		count                              int
	}{
		{"too short", 50 * time.Millisecond, 350 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 350 * time.Millisecond, 50},
		{"too long", 300 * time.Millisecond, 90 * time.Millisecond, 300 * time.Millisecond, 90 * time.Millisecond, 120 * time.Millisecond, 50},
		{"too long, asked for a longer one", 300 * time.Millisecond, 100 * time.Millisecond, 900 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 50},
		{"one outlier", 50 * time.Millisecond, time.Minute, 50 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, now := estimateError{}, time.Unix(1000, 0)
			for range c.count {
				e.observe(now, c.estimated, c.observed, target)
			}
			got := e.corrected(now, c.asked, target)
			requireEqual(t, got >= c.lo && got <= c.hi, true, fmt.Sprint("corrected to ", got))
			forgotten := e.corrected(now.Add(20*time.Second), c.asked, target)
			requireEqual(t, (forgotten-c.asked).Abs() < 5*time.Millisecond, true, fmt.Sprint("later corrected to ", forgotten))
		})
	}
}

// TestIdleServiceRefusesNothing guards against refusals on a service with free servers after everything learned says that all will be late.
func TestIdleServiceRefusesNothing(t *testing.T) {
	a, now := newBusyAdmission()
	late := newArrival(0, 400*time.Millisecond, time.Second)
	late.IsServerFree = true
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		requireEqual(t, a.Decide(now, late, isIdle).IsAccepted(), true, "whether the request is accepted")
		a.Observe(now, late, 5*time.Second)
	}
}

// TestFewFreeServersAreNotOverrun guards against all instances sending their requests to the few servers that are reported free, after such
// reports have turned out to be false.
func TestFewFreeServersAreNotOverrun(t *testing.T) {
	a, now := newBusyAdmission()
	late := newArrival(0, 400*time.Millisecond, time.Second)
	late.IsServerFree = true
	accepted := 0
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		if a.Decide(now, late, func() float64 { return 0.05 }).IsAccepted() {
			accepted++
			a.Observe(now, late, 5*time.Second)
		}
	}
	requireEqual(t, accepted > 0 && accepted < 250, true, fmt.Sprint("some are accepted: ", accepted))
}

// TestFloorsKeepEachGroupServed guards against a route, an account or the largest requests of a route that are never served, since all others
// come before them.
func TestFloorsKeepEachGroupServed(t *testing.T) {
	const target = 400 * time.Millisecond
	cases := []struct {
		name   string
		change func(arrival *Arrival)
		least  float64
	}{
		{"route", func(a *Arrival) { a.Route, a.Wait = "other", time.Second }, 0.25},
		{"account", func(a *Arrival) { a.Account, a.Wait = "other", time.Second }, 0.25},
		{"largest requests", func(a *Arrival) { a.Work, a.Wait = 10*a.Work, time.Second }, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, now := newBusyAdmission()
			var group, all modelResult
			for n := range 3000 {
				now = now.Add(10 * time.Millisecond)
				// Half of the other requests are too late, so that those of the group are not accepted as the only late ones.
				arrival := newArrival(0, target, time.Duration(250+750*(n%2))*time.Millisecond)
				arrival.Work *= 1 + float64(n%7)/100
				isOfGroup := n%10 == 0
				if isOfGroup {
					c.change(&arrival)
				}
				served := 0.0
				if a.Decide(now, arrival, isBusy).IsAccepted() {
					served = 1
				}
				all.count, all.served = all.count+1, all.served+served
				if isOfGroup {
					group.count, group.served = group.count+1, group.served+served
				}
			}
			requireAtLeast(t, "served", group.part(), c.least*all.part())
		})
	}
}
