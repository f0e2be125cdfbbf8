package lrcanary

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groups is the number of groups into which the servers of a release are divided. Evidence by groups tells a bad release from one bad
// server, and its size does not grow with the number of servers.
const groups = 6

// GroupOf returns the group of the server.
func GroupOf(server string) uint8 { return uint8(xxhash.Sum64String(server) % groups) }

// A Key identifies what answers are counted together.
type Key struct {
	Order uint64
	Route string
	IsNew bool
	Group uint8
}

// Counts are the numbers of answers of a group of servers on a route, and how they were.
type Counts struct {
	Answers int64
	Failed  int64
	// Slow answers took several times as long as those of the old release usually do.
	Slow int64
	// Wholes is the number of complete answers and LogWhole the sum of the logarithms of their times, in hundredths. Firsts and LogFirst
	// are the same for the times to first events.
	Wholes   int64
	LogWhole int64
	Firsts   int64
	LogFirst int64
}

// Plus returns the sum of both.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Answers: c.Answers + o.Answers, Failed: c.Failed + o.Failed, Slow: c.Slow + o.Slow, Wholes: c.Wholes + o.Wholes,
		LogWhole: c.LogWhole + o.LogWhole, Firsts: c.Firsts + o.Firsts, LogFirst: c.LogFirst + o.LogFirst,
	}
}

// Minus returns the difference of both.
func (c Counts) Minus(o Counts) Counts {
	return Counts{
		Answers: c.Answers - o.Answers, Failed: c.Failed - o.Failed, Slow: c.Slow - o.Slow, Wholes: c.Wholes - o.Wholes,
		LogWhole: c.LogWhole - o.LogWhole, Firsts: c.Firsts - o.Firsts, LogFirst: c.LogFirst - o.LogFirst,
	}
}

// hasGrown reports whether the counts can follow the earlier ones of the same sender.
func (c Counts) hasGrown(before Counts) bool {
	return c.Answers >= before.Answers && c.Failed >= before.Failed && c.Slow >= before.Slow && c.Wholes >= before.Wholes && c.Firsts >= before.Firsts
}

// Evidence counts answers by order, route, release and group of servers.
type Evidence map[Key]Counts

// Add adds other evidence to this.
func (e Evidence) Add(other Evidence) {
	for key, c := range other {
		e[key] = e[key].Plus(c)
	}
}

// Subtract subtracts other evidence from this.
func (e Evidence) Subtract(other Evidence) {
	for key, c := range other {
		e[key] = e[key].Minus(c)
	}
}

// Keep removes the evidence of all other orders.
func (e Evidence) Keep(orders map[uint64]bool) {
	maps.DeleteFunc(e, func(key Key, _ Counts) bool { return !orders[key.Order] })
}

// addGrowth adds to this evidence what has come in between two reports of one sender.
func (e Evidence) addGrowth(before, after Evidence) {
	for key, c := range after {
		if c.hasGrown(before[key]) {
			e[key] = e[key].Plus(c.Minus(before[key]))
		}
	}
}

// total returns the answers of a release to the order, on all routes.
func (e Evidence) total(order uint64, isNew bool) Counts {
	var sum Counts
	for key, c := range e {
		if key.Order == order && key.IsNew == isNew {
			sum = sum.Plus(c)
		}
	}
	return sum
}

// An Outcome is how an attempt at a server ended.
type Outcome struct {
	// IsFailed is set for answers that are failures, and connections that broke while the server ran the request.
	IsFailed bool
	// Whole is the time to the complete answer, or until the caller went away. First is the time to the first event, zero without one.
	Whole time.Duration
	First time.Duration
}

const (
	// slowFactor is how many times the usual time of the old release an answer takes to count as slow.
	slowFactor = 3
	// minTimed is the number of answers of the old release from which its usual time is known.
	minTimed = 20
	// minSlow is the time below which no answer counts as slow: scheduling alone delays short answers several times.
	minSlow = 20 * time.Millisecond
	// logUnits is the number of units of the sums of logarithms in one.
	logUnits = 100
)

// counts returns the counts of one attempt, compared with what the old release usually does on the route.
func (o Outcome) counts(usual Counts) Counts {
	c := Counts{Answers: 1}
	if o.IsFailed {
		c.Failed = 1
		return c
	}
	if o.Whole > 0 {
		c.Wholes, c.LogWhole = 1, logOf(o.Whole)
	}
	if o.First > 0 {
		c.Firsts, c.LogFirst = 1, logOf(o.First)
	}
	if isSlow(o.Whole, usual.LogWhole, usual.Wholes) || isSlow(o.First, usual.LogFirst, usual.Firsts) {
		c.Slow = 1
	}
	return c
}

func logOf(d time.Duration) int64 {
	return int64(math.Round(logUnits * math.Log(math.Max(float64(d)/float64(time.Millisecond), 1))))
}

// isSlow compares a time with the geometric mean of the usual ones.
func isSlow(d time.Duration, logSum, n int64) bool {
	if n < minTimed || d < minSlow {
		return false
	}
	return d > slowFactor*meanOf(logSum, n)
}

// meanOf returns the geometric mean of times.
func meanOf(logSum, n int64) time.Duration {
	return time.Duration(math.Exp(float64(logSum)/float64(n)/logUnits) * float64(time.Millisecond))
}

// usualTime returns the geometric mean of the times to complete answers, or zero while it is not known.
func (c Counts) usualTime() time.Duration {
	if c.Wholes < minTimed {
		return 0
	}
	return meanOf(c.LogWhole, c.Wholes)
}
