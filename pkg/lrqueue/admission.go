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
	// Digest is equal for requests of the same caller with the same content.
	Digest string
	// Urgency is the priority that the request has at the server. The lowest value is served first.
	Urgency int
	// Work is the load of the request at the server, in tokens. It is 1 for requests without tokens.
	Work float64
	// Wait is the expected time from now to the first event, and Own the part of it that the request itself takes at the server.
	Wait time.Duration
	Own  time.Duration
	// IsPlain is set for requests without a prompt. Their time is learned, and Wait is not used.
	IsPlain bool
	// Ahead is the number of requests at the server, and Slots the number that it processes at the same time.
	Ahead int
	Slots int
	// IsServerFree is set when the chosen server is reported to have a free slot and nothing waiting.
	IsServerFree bool
	// Elapsed is the time since the request was received.
	Elapsed time.Duration
	// Target is the time from the receipt within which the caller wants the first event. Zero means that there is no target.
	Target time.Duration
	// Gap is the longest pause between two events that the caller wants. Zero means that there is none.
	Gap time.Duration
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
}

// A caller waits for the first event for minPatience, or the given multiples of the target or of the pause between events, whichever is longest.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// withinDeadline returns the arrival with a target that does not lie after its deadline.
func (a Arrival) withinDeadline() Arrival {
	if a.Target > 0 {
		a.Target = max(min(a.Target, a.Elapsed+a.TimeLeft), time.Millisecond)
	}
	return a
}

// targetLeft returns what is left of the target.
func (a Arrival) targetLeft() time.Duration { return max(a.Target-a.Elapsed, 0) }

// useful returns the longest time to the first event after which an answer still reaches the caller.
func (a Arrival) useful() time.Duration {
	patience := max(minPatience, patienceTargets*a.Target, patienceGaps*a.Gap)
	return min(patience-a.Elapsed, a.TimeLeft)
}

// An Admission decides which requests are sent when the backend servers cannot serve all of them in time. It is safe for concurrent use.
type Admission struct {
	mutex    sync.Mutex
	random   *rand.Rand
	services map[string]*serviceAdmission
	returns  *returningCallers
}

// NewAdmission returns an Admission that has seen no request. The seed is that of its random generator.
func NewAdmission(seed uint64) *Admission {
	return &Admission{random: rand.New(rand.NewPCG(seed, seed)), services: map[string]*serviceAdmission{}, returns: newReturningCallers()}
}

// Decide returns whether the request is sent. The function free returns the part of the usable servers that are reported to have a free slot and
// nothing waiting; it is called only for a request that would be refused otherwise.
func (a *Admission) Decide(now time.Time, arrival Arrival, free func() float64) Decision {
	if arrival.Target <= 0 {
		return Decision{Reason: NoTarget, Expected: arrival.Wait}
	}
	arrival = arrival.withinDeadline()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := boundedGet(a.services, arrival.Service, maxServices, newServiceAdmission)
	isReturning := a.returns.isReturning(now, arrival)
	d := s.decide(now, arrival, isReturning, a.random.Float64())
	if !d.IsAccepted() && s.free.accept(now, arrival.Work, s.completed.work.value(now, rateWindow), free()) {
		d.Reason = IsFree
	}
	s.record(now, arrival, d)
	if !d.IsAccepted() {
		d.RetryAfter = s.spread.next(now, arrival, d.Expected-d.Limit, a.random.Float64())
		a.returns.add(now, arrival)
	}
	return d
}

// Observe records the time to the first event, or to the answer, of a request that was sent.
func (a *Admission) Observe(now time.Time, arrival Arrival, observed time.Duration) {
	if arrival.Target <= 0 {
		return
	}
	arrival = arrival.withinDeadline()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := boundedGet(a.services, arrival.Service, maxServices, newServiceAdmission)
	s.observe(now, arrival, observed)
}

// Complete records that a request whose time was not expected has had its first event, such as one that was sent to a second server.
func (a *Admission) Complete(now time.Time, arrival Arrival) {
	if arrival.Target <= 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	boundedGet(a.services, arrival.Service, maxServices, newServiceAdmission).complete(now, arrival)
}

// A Decision is the result of an Admission with the figures that led to it.
type Decision struct {
	Reason Reason
	// Expected is the expected time to the first event, corrected by the learned error of the estimate, and Limit the longest one accepted.
	Expected time.Duration
	Limit    time.Duration
	// Part is the part of such requests that is refused now, and Pressure the part of the more urgent ones that is not served in time.
	Part     float64
	Pressure float64
	// IsReturning is set when the caller has probably been refused before.
	IsReturning bool
	// RetryAfter is the time after which the caller of a refused request should return.
	RetryAfter time.Duration
}

// IsAccepted reports whether the request may be sent.
func (d Decision) IsAccepted() bool { return !d.Reason.isRefusal() }

// Err returns the figures of a refusal as an error.
func (d Decision) Err() error { return OverloadError{Decision: d} }

// An OverloadError explains why a request was refused.
type OverloadError struct{ Decision }

// Error returns the reason and the figures that led to it.
func (e OverloadError) Error() string {
	return fmt.Sprintf("%s: expected %s, limit %s, part %.2f, pressure %.2f, returning %t", e.Reason,
		e.Expected.Round(time.Millisecond), e.Limit.Round(time.Millisecond), e.Part, e.Pressure, e.IsReturning)
}

// A Reason states why an Admission has decided as it has.
type Reason string

const (
	// NoTarget means that the request has no target, so that it is always accepted.
	NoTarget Reason = "noTarget"
	// InTime means that the first event is expected in time.
	InTime Reason = "inTime"
	// Late means that the first event is expected after the target, and that the request delays no others beyond theirs.
	Late Reason = "late"
	// IsFree means that a server has a free slot and nothing waits there.
	IsFree Reason = "free"
	// Underserved means that the route, the account or large requests of the route would otherwise be served much less often than others.
	Underserved Reason = "underserved"
	// TooLate means that the first event is expected after the target, while there is too little capacity.
	TooLate Reason = "tooLate"
	// Useless means that the first event is expected after the caller has gone.
	Useless Reason = "useless"
	// Contended means that a part of all such requests is refused, since there is too little capacity for them.
	Contended Reason = "contended"
	// OverShare means that a part of the requests of the account is refused, since it brings more than its fair share of the load.
	OverShare Reason = "overShare"
	// GivesWay means that more urgent requests are not served in time.
	GivesWay Reason = "givesWay"
)

func (r Reason) isRefusal() bool {
	switch r {
	case TooLate, Useless, Contended, OverShare, GivesWay:
		return true
	default:
		return false
	}
}
