package lrqueue

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// An Arrival is a request for which a backend server has been chosen and that has not been sent yet.
type Arrival struct {
	Service string
	Route   string
	Account string
	// Urgency is the priority that the request has at the server. The lowest value is served first.
	Urgency int
	// Work is the load of the request at the server, in tokens. It is 1 for requests without tokens.
	Work float64
	// Wait is the expected time from now to the first event.
	Wait time.Duration
	// Elapsed is the time since the request was received.
	Elapsed time.Duration
	// Target is the time from the receipt within which the caller wants the first event. Zero means that there is no target.
	Target time.Duration
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
}

// hasTarget reports whether the target can be met before the deadline, which an implausible one cannot.
func (a Arrival) hasTarget() bool { return a.Target > 0 && a.Target <= a.Elapsed+a.TimeLeft }

// A Reason states why an Admission has decided as it has.
type Reason string

const (
	// NoTarget means that the request has no target, so that it is always accepted.
	NoTarget Reason = "noTarget"
	// InTime means that the first event is expected in time.
	InTime Reason = "inTime"
	// IsFree means that a server has a free slot and nothing waits there.
	IsFree Reason = "free"
	// TooLate means that the first event is expected after the target.
	TooLate Reason = "tooLate"
	// GivesWay means that the first event is expected in time, but more urgent requests have been refused.
	GivesWay Reason = "givesWay"
)

// A Decision is the result of an Admission with the figures that led to it.
type Decision struct {
	Reason Reason
	// Expected is the expected time to the first event, and Limit the longest one that was accepted.
	Expected time.Duration
	Limit    time.Duration
	// Pressure is the part of the more urgent requests that could not be served in time.
	Pressure float64
	// RetryAfter is the time after which the caller of a refused request should return.
	RetryAfter time.Duration
}

// IsAccepted reports whether the request may be sent.
func (d Decision) IsAccepted() bool { return d.Reason != TooLate && d.Reason != GivesWay }

// Err returns the figures of a refusal as an error.
func (d Decision) Err() error { return OverloadError{Decision: d} }

// An OverloadError explains why a request was refused.
type OverloadError struct{ Decision }

// Error returns the reason and the figures that led to it.
func (e OverloadError) Error() string {
	return fmt.Sprintf("%s: expected %s, limit %s, pressure %.2f", e.Reason, e.Expected.Round(time.Millisecond), e.Limit.Round(time.Millisecond), e.Pressure)
}

// An Admission decides which requests are sent when the backend servers cannot serve all of them in time. It is safe for concurrent use.
type Admission struct {
	mutex    sync.Mutex
	random   *rand.Rand
	services map[string]*serviceAdmission
}

// NewAdmission returns an Admission that has seen no request. The seed is that of the generator that spreads returning callers.
func NewAdmission(seed uint64) *Admission {
	return &Admission{random: rand.New(rand.NewPCG(seed, seed)), services: map[string]*serviceAdmission{}}
}

// maxServices bounds the services of which an Admission keeps a state.
const maxServices = 256

// service returns the state of the service.
func (a *Admission) service(name string) *serviceAdmission {
	s, ok := a.services[name]
	if ok {
		return s
	}
	if len(a.services) >= maxServices {
		clear(a.services)
	}
	s = newServiceAdmission()
	a.services[name] = s
	return s
}

// Decide returns whether the request is sent. The function isFree reports whether a usable server has a free slot and nothing waits there; it
// is called only for a request that would be refused otherwise.
func (a *Admission) Decide(now time.Time, arrival Arrival, isFree func() bool) Decision {
	if !arrival.hasTarget() {
		return Decision{Reason: NoTarget, Expected: arrival.Wait}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.service(arrival.Service)
	d := s.decide(now, arrival)
	if !d.IsAccepted() && isFree() {
		d.Reason = IsFree
	}
	s.record(now, arrival, d)
	if !d.IsAccepted() {
		d.RetryAfter = s.retryAfter(now, arrival, d, a.random.Float64())
	}
	return d
}
