package lrqueue

import (
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
