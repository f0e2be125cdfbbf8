package lrqueue

import (
	"time"
)

const (
	// classWindow is the time constant with which past decisions about the requests of one urgency lose weight.
	classWindow = 2 * time.Second
	// classPrior is the number of requests served in time that every urgency is assumed to have had, so that a few do not decide alone.
	classPrior = 5
	// maxClasses bounds the values of urgency that are kept apart in one service.
	maxClasses = 16
	// fullPressure is the part of the more urgent requests not served in time at which less urgent requests give way completely.
	fullPressure = 0.2
	// yieldedShare is the part of the target of the more urgent requests up to which less urgent requests that give way completely may wait.
	yieldedShare = 0.5
)

// serviceAdmission is what an Admission knows of the requests to one service.
type serviceAdmission struct {
	classes map[int]*urgencyClass
	returns returns
}

// urgencyClass counts the requests of one urgency.
type urgencyClass struct {
	// target is the target of the last request.
	target time.Duration
	// offered counts all requests, missed those that were not expected to be served in time.
	offered decayed
	missed  decayed
}

func newServiceAdmission() *serviceAdmission {
	return &serviceAdmission{classes: map[int]*urgencyClass{}}
}

// decide compares the expected time to the first event with what is left of the target, or with less where more urgent requests miss their
// targets.
func (s *serviceAdmission) decide(now time.Time, arrival Arrival) Decision {
	d := Decision{Reason: InTime, Expected: arrival.Wait}
	left := max(arrival.Target-arrival.Elapsed, 0)
	d.Limit, d.Pressure = s.limit(now, arrival.Urgency, left)
	switch {
	case d.Expected > left:
		d.Reason = TooLate
	case d.Expected > d.Limit:
		d.Reason = GivesWay
	}
	return d
}

// limit returns the longest accepted wait. Where more urgent requests miss their targets, it falls from what is left of the target to a part
// of their target.
func (s *serviceAdmission) limit(now time.Time, urgency int, left time.Duration) (limit time.Duration, pressure float64) {
	limit = left
	for other, c := range s.classes {
		if other >= urgency {
			continue
		}
		missing := c.missing(now)
		yielded := min(time.Duration(yieldedShare*float64(c.target)), left)
		strength := min(missing/fullPressure, 1)
		limit = min(limit, left-time.Duration(strength*float64(left-yielded)))
		pressure = max(pressure, missing)
	}
	return limit, pressure
}

// missing returns the part of the requests that were not expected to be served in time.
func (c *urgencyClass) missing(now time.Time) float64 {
	return c.missed.value(now, classWindow) / (c.offered.value(now, classWindow) + classPrior)
}

// record counts the decision.
func (s *serviceAdmission) record(now time.Time, arrival Arrival, d Decision) {
	c, ok := s.classes[arrival.Urgency]
	if !ok {
		if len(s.classes) >= maxClasses {
			clear(s.classes)
		}
		c = &urgencyClass{}
		s.classes[arrival.Urgency] = c
	}
	c.target = arrival.Target
	c.offered.add(now, classWindow, 1)
	if d.Expected > arrival.Target-arrival.Elapsed || !d.IsAccepted() {
		c.missed.add(now, classWindow, 1)
	}
	if d.IsAccepted() {
		s.returns.accept(now, arrival.Work)
	}
}

// retryAfter returns the time after which the caller of a refused request should return.
func (s *serviceAdmission) retryAfter(now time.Time, arrival Arrival, d Decision, random float64) time.Duration {
	return s.returns.next(now, arrival, d.Expected-d.Limit, random)
}
