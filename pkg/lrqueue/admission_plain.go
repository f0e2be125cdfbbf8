package lrqueue

import (
	"time"
)

const (
	// plainWindow is the time constant with which past times lose weight.
	plainWindow = 4 * time.Second
	// plainPrior is the number of requests with the time that the estimate assumes.
	plainPrior = 3
	// plainTargetShare is the time of a request without tokens that is assumed at first, as a share of the target.
	plainTargetShare = 0.25
)

// plainTime learns the time that a request without tokens takes at a server with a free slot.
type plainTime struct{ samples, seconds decayed }

// observe adds the time of a request. One that has waited for a slot says nothing, and one that takes longer than its target is cut, so
// that an unresponsive server has little influence.
func (p *plainTime) observe(now time.Time, arrival Arrival, observed time.Duration) {
	if arrival.Ahead >= arrival.Slots {
		return
	}
	p.samples.add(now, plainWindow, 1)
	p.seconds.add(now, plainWindow, min(observed, arrival.Target).Seconds())
}

// expected returns the expected time to the answer: the request's own time, which is also returned alone, and as much for each full set of slots
// ahead of it.
func (p *plainTime) expected(now time.Time, arrival Arrival) (all, own time.Duration) {
	samples := p.samples.value(now, plainWindow) + plainPrior
	mean := (p.seconds.value(now, plainWindow) + plainPrior*plainTargetShare*arrival.Target.Seconds()) / samples
	queued := max(arrival.Ahead+1-arrival.Slots, 0)
	own = time.Duration(mean * float64(time.Second))
	return own + own*time.Duration(queued)/time.Duration(max(arrival.Slots, 1)), own
}
