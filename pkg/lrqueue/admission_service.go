package lrqueue

import (
	"time"
)

const (
	// classWindow is the time constant with which past decisions about the requests of one urgency lose weight.
	classWindow = 2 * time.Second
	// classPrior is the number of requests served in time that every urgency is assumed to have had, so that a few do not decide alone.
	classPrior = 5
	// pressureGain is how much more of the less urgent requests is refused than of the more urgent ones, up to maxYield.
	pressureGain = 4
	maxYield     = 0.85
	// calmPart is the part of refused requests, and calmMissing that of requests not expected to be served in time, up to which requests that
	// are expected to be late are accepted.
	calmPart    = 0.05
	calmMissing = 0.1
	// returnPart lowers the part of the returning callers that is refused.
	returnPart = 0.7
	// returnLimit is the multiple of the target within which the first event of a returning caller has to be expected.
	returnLimit = 2
)

// serviceAdmission is what an Admission knows of the requests to one service.
type serviceAdmission struct {
	classes  map[int]*urgencyClass
	routes   map[string]*routeAdmission
	accounts *accountLoads
	level    fairLevel
	// all counts the requests to the service, and done those of them whose first event has arrived.
	all       servedPart
	done      servedPart
	completed completions
	free      freeReports
	spread    returnSpread
}

// urgencyClass counts the requests of one urgency.
type urgencyClass struct {
	// offered counts all requests, missed those that were not expected to be served in time.
	offered decayed
	missed  decayed
	// completed counts the requests whose first event has arrived.
	completed servedPart
	control   control
}

// routeAdmission is what an Admission knows of the requests of one route.
type routeAdmission struct {
	estimate estimateError
	plain    plainTime
	// all counts the requests of the route, large those of its largest tenth.
	all   servedPart
	large servedPart
	tenth largestTenth
}

func newServiceAdmission() *serviceAdmission {
	return &serviceAdmission{classes: map[int]*urgencyClass{}, routes: map[string]*routeAdmission{}, accounts: newAccountLoads()}
}

func (s *serviceAdmission) class(urgency int) *urgencyClass {
	return boundedGet(s.classes, urgency, maxClasses, func() *urgencyClass { return &urgencyClass{} })
}

func (s *serviceAdmission) route(name string) *routeAdmission {
	return boundedGet(s.routes, name, maxRoutes, func() *routeAdmission { return &routeAdmission{} })
}

// decide decides on a request without regard to free servers.
func (s *serviceAdmission) decide(now time.Time, arrival Arrival, isReturning bool, random float64) Decision {
	route, class := s.route(arrival.Route), s.class(arrival.Urgency)
	left := arrival.targetLeft()
	expected, own := route.expected(now, arrival)
	d := Decision{Reason: InTime, Expected: expected, Limit: left, Pressure: s.pressure(now, arrival.Urgency), IsReturning: isReturning}
	class.control.observe(now, arrival.Work, float64(expected-own)/float64(arrival.Target))
	s.accounts.add(now, arrival.Account, arrival.Urgency, arrival.Work)
	capacity := s.capacity(now, arrival.Urgency)
	if class.control.applied(capacity) > 0 {
		s.level.refresh(now, s.accounts, capacity.completed)
		capacity.excess = s.level.excess(now, arrival.Urgency)
	}
	contended, yield := class.control.part(now, capacity), min(pressureGain*d.Pressure, maxYield)
	over := s.overShare(now, arrival) * class.control.applied(capacity)
	part := max(contended, yield)
	d.Part = max(part, over)
	refused := d.Part
	if isReturning {
		refused *= returnPart
		d.Limit = max(left, min(returnLimit*arrival.Target-arrival.Elapsed, arrival.useful()))
	}
	switch {
	case d.Expected > arrival.useful():
		d.Reason = Useless
	case random < refused && d.Part > part:
		d.Reason = OverShare
	case random < refused && yield > contended:
		d.Reason = GivesWay
	case random < refused:
		d.Reason = Contended
	case d.Expected <= d.Limit:
	case part <= calmPart && class.isCalm(now, capacity):
		d.Reason = Late
	default:
		d.Reason = TooLate
	}
	if !d.IsAccepted() && d.Reason != Useless && s.isUnderserved(now, arrival, route) {
		d.Reason = Underserved
	}
	return d
}

// overShare returns the part of the account's requests that is refused because the account is far above its fair share.
func (s *serviceAdmission) overShare(now time.Time, arrival Arrival) float64 {
	load, ok := s.accounts.loads[arrival.Account]
	if !ok {
		return 0
	}
	keep, _ := load.keep(now, arrival.Urgency, s.level.work)
	return 1 - keep
}

// capacity returns what is known of the work that the servers do for requests of the urgency.
func (s *serviceAdmission) capacity(now time.Time, urgency int) capacity {
	k := capacity{completed: s.completed.work.value(now, rateWindow), count: s.completed.count.value(now, rateWindow)}
	for other, c := range s.classes {
		switch {
		case other < urgency:
			k.reserved += c.control.accepted.value(now, rateWindow)
		case other > urgency:
			k.yielding += c.control.accepted.value(now, rateWindow)
			k.starving = max(k.starving, c.completed.below(now, leastKind, &s.done))
		}
	}
	return k
}

// isCalm reports whether requests of the urgency may be late because that delays hardly any others: few are late, they are late by their own time
// alone, or the servers have room for all of them.
func (c *urgencyClass) isCalm(now time.Time, k capacity) bool {
	return c.missing(now) <= calmMissing || c.control.strength() == 0 || c.control.hasRoom(now, k)
}

// pressure returns the largest part of the requests of one higher urgency that was not expected to be served in time, as far as these still
// wait.
func (s *serviceAdmission) pressure(now time.Time, urgency int) float64 {
	pressure := 0.0
	for other, c := range s.classes {
		if other < urgency {
			pressure = max(pressure, c.missing(now)*c.control.strength())
		}
	}
	return pressure
}

// missing returns the part of the requests that were not expected to be served in time. Few requests have little weight.
func (c *urgencyClass) missing(now time.Time) float64 {
	offered := c.offered.value(now, classWindow)
	return c.missed.value(now, classWindow) / (offered + classPrior) * min(offered/classPrior, 1)
}

// expected returns the expected time to the first event, corrected by the learned error, and the part of it that the request itself takes.
func (r *routeAdmission) expected(now time.Time, arrival Arrival) (all, own time.Duration) {
	if arrival.IsPlain {
		return r.plain.expected(now, arrival)
	}
	return r.estimate.corrected(now, arrival.Wait, arrival.Target), arrival.Own
}

// record counts the decision.
func (s *serviceAdmission) record(now time.Time, arrival Arrival, d Decision) {
	class, route := s.class(arrival.Urgency), s.route(arrival.Route)
	class.offered.add(now, classWindow, 1)
	class.completed.offered.add(now, servedWindow, 1)
	s.done.offered.add(now, servedWindow, 1)
	if d.Reason != OverShare && (d.Expected > arrival.targetLeft() || !d.IsAccepted()) {
		class.missed.add(now, classWindow, 1)
	}
	isServed := d.IsAccepted()
	s.all.add(now, isServed)
	route.all.add(now, isServed)
	if route.tenth.add(arrival.Work) {
		route.large.add(now, isServed)
	}
	s.accounts.served(now, arrival.Account, isServed)
	if isServed {
		class.control.accepted.add(now, rateWindow, arrival.Work)
		s.spread.accept(now, arrival.Work)
	}
}

// complete records that the first event of a request has arrived.
func (s *serviceAdmission) complete(now time.Time, arrival Arrival) {
	s.completed.add(now, arrival.Work)
	s.class(arrival.Urgency).completed.sent.add(now, servedWindow, 1)
	s.done.sent.add(now, servedWindow, 1)
}

// observe records the time to the first event of a request.
func (s *serviceAdmission) observe(now time.Time, arrival Arrival, observed time.Duration) {
	route := s.route(arrival.Route)
	s.complete(now, arrival)
	if arrival.IsPlain {
		route.plain.observe(now, arrival, observed)
		return
	}
	if arrival.IsServerFree {
		s.free.observe(now, arrival.Wait, observed, arrival.Target)
	}
	route.estimate.observe(now, arrival.Wait, observed, arrival.Target)
}
