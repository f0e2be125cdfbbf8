package lrqueue

import (
	"time"
)

const (
	// servedWindow is the time constant with which past decisions lose weight.
	servedWindow = 4 * time.Second
	// leastKind is how often a route is served at least, relative to the service, leastAccount the same for an account, and leastLarge how
	// often the largest tenth of a route, relative to the route. They lie above what is promised, 1/4, 1/4 and 1/2, since they are counted on
	// one instance.
	leastKind    = 0.35
	leastAccount = 0.35
	leastLarge   = 0.65
	// leastCount is the number of requests from which on the part that was sent is compared.
	leastCount = 3
	// largeTenth is the part of the requests that counts as large.
	largeTenth = 0.1
	// tenthStep is how far the bound of the largest tenth moves with one request, relative to the bound.
	tenthStep = 0.05
)

// servedPart counts requests and those that were sent.
type servedPart struct{ offered, sent decayed }

// add counts one request.
func (p *servedPart) add(now time.Time, isSent bool) {
	p.offered.add(now, servedWindow, 1)
	if isSent {
		p.sent.add(now, servedWindow, 1)
	}
}

// isBelow reports whether the part that was sent is below the share of the other part, after one more request that is refused.
func (p *servedPart) isBelow(now time.Time, share float64, other *servedPart) bool {
	offered, sent := p.offered.value(now, servedWindow)+1, p.sent.value(now, servedWindow)
	if offered < leastCount {
		return false
	}
	otherOffered, otherSent := other.offered.value(now, servedWindow)+1, other.sent.value(now, servedWindow)
	return sent*otherOffered < share*otherSent*offered
}

// below returns how far the part is below the share of the other part, from 0 to 1.
func (p *servedPart) below(now time.Time, share float64, other *servedPart) float64 {
	offered, sent := p.offered.value(now, servedWindow), p.sent.value(now, servedWindow)
	otherOffered, otherSent := other.offered.value(now, servedWindow), other.sent.value(now, servedWindow)
	if offered < leastCount || otherSent < leastCount {
		return 0
	}
	return max(1-sent*otherOffered/(share*otherSent*offered), 0)
}

// largestTenth follows the size above which a tenth of the requests lies.
type largestTenth struct{ bound float64 }

// add reports whether the request belongs to the largest tenth, and adds it to the distribution.
func (l *largestTenth) add(work float64) bool {
	if l.bound == 0 {
		l.bound = work
		return false
	}
	if work > l.bound {
		l.bound *= 1 + tenthStep*(1-largeTenth)
		return true
	}
	l.bound *= 1 - tenthStep*largeTenth
	return false
}

// isLarge reports whether work belongs to the largest tenth.
func (l *largestTenth) isLarge(work float64) bool { return l.bound > 0 && work > l.bound }

// isUnderserved reports whether a refusal would leave the route, the account or the largest requests of the route much less often served than
// others.
func (s *serviceAdmission) isUnderserved(now time.Time, arrival Arrival, route *routeAdmission) bool {
	if route.all.isBelow(now, leastKind, &s.all) {
		return true
	}
	if route.tenth.isLarge(arrival.Work) && route.large.isBelow(now, leastLarge, &route.all) {
		return true
	}
	account, ok := s.accounts.loads[arrival.Account]
	return ok && account.all.isBelow(now, leastAccount, &s.all)
}
