package lrqueue

import (
	"slices"
	"testing"
	"time"
)

func newArrival(urgency int, target, wait time.Duration) Arrival {
	return Arrival{Service: "s", Route: "r", Urgency: urgency, Work: 1000, Wait: wait, Target: target, TimeLeft: 10 * time.Second}
}

// newBusyAdmission returns an Admission that has seen requests that were expected to be late, and a time after them.
func newBusyAdmission() (*Admission, time.Time) {
	a, now := NewAdmission(1), time.Unix(1000, 0)
	for range 10 {
		a.Decide(now, newArrival(0, 400*time.Millisecond, time.Second), isBusy)
		now = now.Add(10 * time.Millisecond)
	}
	return a, now
}

func isBusy() float64 { return 0 }

func isIdle() float64 { return 0.5 }

// TestDecisionOnOneRequest guards against a refusal of a request that can be served in time, of one without a target, and of any request while a
// server is free, and against one that is sent although it is expected after its deadline.
func TestDecisionOnOneRequest(t *testing.T) {
	late := newArrival(0, 400*time.Millisecond, time.Second)
	hurried := newArrival(0, 400*time.Millisecond, 300*time.Millisecond)
	hurried.TimeLeft = 200 * time.Millisecond
	elapsed := newArrival(0, 400*time.Millisecond, 300*time.Millisecond)
	elapsed.Elapsed = 200 * time.Millisecond
	cases := []struct {
		name    string
		arrival Arrival
		isFree  func() float64
		want    Reason
	}{
		{"in time", newArrival(0, 400*time.Millisecond, 300*time.Millisecond), isBusy, InTime},
		{"too late", late, isBusy, TooLate},
		{"too late because of the time that has passed", elapsed, isBusy, TooLate},
		{"a server is free", late, isIdle, IsFree},
		{"no target", newArrival(0, 0, time.Minute), isBusy, NoTarget},
		{"expected after the deadline", hurried, isBusy, Useless},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, now := newBusyAdmission()
			requireEqual(t, a.Decide(now, c.arrival, c.isFree).Reason, c.want, "reason")
		})
	}
}

// TestLessUrgentRequestsGiveWay guards against less urgent requests that fill the servers while more urgent ones are refused, and against their
// refusal after the more urgent ones have gone.
func TestLessUrgentRequestsGiveWay(t *testing.T) {
	a, now := NewAdmission(1), time.Unix(1000, 0)
	long := newArrival(2, 1500*time.Millisecond, 700*time.Millisecond)
	requireEqual(t, a.Decide(now, long, isBusy).Reason, InTime, "reason")
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		a.Decide(now, newArrival(0, 400*time.Millisecond, 700*time.Millisecond), isBusy)
	}
	requireEqual(t, a.Decide(now, long, isBusy).Reason, GivesWay, "reason")
	now = now.Add(10 * time.Second)
	requireEqual(t, a.Decide(now, long, isBusy).Reason, InTime, "reason")
}

// TestRefusedCallersReturnSpread guards against refused callers that all return at the same time, or later than they honor.
func TestRefusedCallersReturnSpread(t *testing.T) {
	a, now := newBusyAdmission()
	late := newArrival(0, 400*time.Millisecond, time.Second)
	late.TimeLeft = 3 * time.Second
	returns := make([]time.Duration, 0, 200)
	for range 200 {
		d := a.Decide(now, late, isBusy)
		if !d.IsAccepted() {
			requireEqual(t, d.RetryAfter >= minReturn && d.RetryAfter <= late.TimeLeft/3, true, "time within bounds")
			returns = append(returns, d.RetryAfter)
		}
	}
	slices.Sort(returns)
	requireEqual(t, len(returns) > 100, true, "most are refused")
	requireEqual(t, returns[len(returns)*9/10]-returns[len(returns)/10] > 100*time.Millisecond, true, "spread")
}
