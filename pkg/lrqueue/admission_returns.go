package lrqueue

import (
	"hash/maphash"
	"time"
)

const (
	// minReturn is the shortest time after which a refused caller is asked to return.
	minReturn = 50 * time.Millisecond
	// returnShare is the part of the time left after which a refused caller is asked to return at the latest. Callers honor a third of the time
	// that they have left, which is a little less than what is left here.
	returnShare = 0.3
	// returnWindow is the time constant of the rate of accepted work.
	returnWindow = 2 * time.Second
	// returnJitter is the part of the wait by which equal waits are spread in both directions.
	returnJitter = 0.25
)

// returnSpread spreads refused callers over the time in which capacity becomes free for them.
type returnSpread struct {
	// accepted is the accepted work.
	accepted decayed
	// until is the time by which the callers that have been asked to return have been served, at the rate of accepted work.
	until time.Time
}

// accept counts accepted work.
func (r *returnSpread) accept(now time.Time, work float64) { r.accepted.add(now, returnWindow, work) }

// next returns after how long the caller should return: when the excess wait has passed and the callers before it have been served. The caller
// honors at most a part of the time that it has left.
func (r *returnSpread) next(now time.Time, arrival Arrival, excess time.Duration, random float64) time.Duration {
	perSecond := max(r.accepted.value(now, returnWindow)/returnWindow.Seconds(), arrival.Work)
	turn := time.Duration(arrival.Work / perSecond * float64(time.Second))
	r.until = maxTime(r.until, now).Add(turn)
	longest := time.Duration(returnShare * float64(arrival.TimeLeft))
	wait := min(max(excess, r.until.Sub(now)), longest)
	r.until = minTime(r.until, now.Add(max(longest, minReturn)))
	factor := 1 - returnJitter*random
	if wait < longest {
		factor = 1 + returnJitter*(2*random-1)
	}
	return max(min(time.Duration(factor*float64(wait)), longest), minReturn)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

const (
	// maxReturning bounds the refused callers that are remembered, and returnMemory is how long they are.
	maxReturning = 2048
	returnMemory = 15 * time.Second
	// usualWindow is the time constant of what is known of the time that callers allow.
	usualWindow = 10 * time.Second
	// returnedShare is the part of the usual time that a caller allows at most if it was refused before.
	returnedShare = 0.985
	// maxReturnedPart is the part of callers with less time than usual up to which this is a sign of a return.
	maxReturnedPart = 0.6
)

// returningCallers recognizes callers that have been refused before: by their digest if this instance has refused them, otherwise by the time
// that they allow, which is shorter than that of first attempts. Where many callers allow less than the usual time, that says nothing.
type returningCallers struct {
	seed   maphash.Seed
	until  map[uint64]time.Time
	routes map[string]*usualTime
}

// usualTime is the longest time that callers of a route allow.
type usualTime struct {
	longest time.Duration
	at      time.Time
	all     decayed
	shorter decayed
}

func newReturningCallers() *returningCallers {
	return &returningCallers{seed: maphash.MakeSeed(), until: map[uint64]time.Time{}, routes: map[string]*usualTime{}}
}

// isReturning reports whether the caller has probably been refused before.
func (c *returningCallers) isReturning(now time.Time, arrival Arrival) bool {
	hasLessTime := boundedGet(c.routes, arrival.Route, maxRoutes, func() *usualTime { return &usualTime{} }).observe(now, arrival.Elapsed+arrival.TimeLeft)
	if arrival.Digest == "" {
		return hasLessTime
	}
	key := maphash.String(c.seed, arrival.Digest)
	until, ok := c.until[key]
	delete(c.until, key)
	return ok && now.Before(until) || hasLessTime
}

// refused remembers a refused caller.
func (c *returningCallers) refused(now time.Time, arrival Arrival) {
	if arrival.Digest == "" {
		return
	}
	if len(c.until) >= maxReturning {
		for key, until := range c.until {
			if !now.Before(until) || len(c.until) > maxReturning/2 {
				delete(c.until, key)
			}
		}
	}
	c.until[maphash.String(c.seed, arrival.Digest)] = now.Add(min(returnMemory, arrival.TimeLeft))
}

// observe adds the time that a caller allows, and reports whether it is a sign of a return.
func (u *usualTime) observe(now time.Time, allowed time.Duration) bool {
	if allowed >= u.longest || now.Sub(u.at) > usualWindow {
		u.longest, u.at = allowed, now
	}
	isShorter := allowed.Seconds() < returnedShare*u.longest.Seconds()
	u.all.add(now, usualWindow, 1)
	if isShorter {
		u.shorter.add(now, usualWindow, 1)
	}
	return isShorter && u.shorter.value(now, usualWindow) <= maxReturnedPart*u.all.value(now, usualWindow)
}
