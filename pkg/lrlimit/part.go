package lrlimit

import (
	"math"
	"time"
)

const (
	// ReportHorizon is the time without reports after which an instance counts as unreachable. What an instance may use without the others
	// having heard of it is bounded over this time.
	ReportHorizon = 900 * time.Millisecond
	// meanAge is the mean age of reports, as a share of the longest.
	meanAge = 0.75
	// reserveDeviations is by how many standard deviations the use that is not reported yet may exceed its mean. maxReserve bounds the
	// reserve for it, as a share of the burst.
	reserveDeviations = 1.55
	maxReserve        = 0.25
	// surgeDeviations is by how many standard deviations, and surgeRequests by how many requests, the demand here must exceed what is
	// expected to show a surge.
	surgeDeviations = 2.5
	surgeRequests   = 3
	// capDeviations is by how many standard deviations an instance may exceed its part, and capRequests by how many requests where its part
	// is smaller than one.
	capDeviations = 0.25
	capRequests   = 3
	// overload is the demand of others, as a multiple of the rate, that shows that they use all of it.
	overload = 1.2
	// startShare is the part of the burst that an account begins with at an instance while the others show overload.
	startShare = 0.5
	// smallShare is the share of the usual size up to which a request is not held back while the level covers it: all of these together
	// matter little, and a payment should not be refused like a long prompt.
	smallShare = 0.1
	// countedShare is the share of an instance's part up to which a request is counted in full.
	countedShare = 0.25
)

// A part decides what one instance may use of an account while the use of the others is known from late reports only.
//
// All instances divide the same tokens: the level before all use within the horizon. Each admits requests at the pace at which all of them
// together use that up, and none uses more of it than its share of the demand. So they stay within the level whether reports
// arrive or not. A request that the pace admits in part is admitted with that probability, whatever its size, so that large
// requests are served where the instance's part is smaller than one; far smaller ones than usual need the level alone. Where the level suffices for all demand, nothing is held back.
type part struct {
	demandView
	// recent is nil while the account is not used.
	recent *recentUse
	// returned was refunded and is still part of the recent use.
	returned float64
}

// fleetView is what an instance knows of the others.
type fleetView struct {
	instances int
	// delay is how long a report takes to reach all instances at most.
	delay time.Duration
}

// meanDelay returns how old reports are on average.
func (f fleetView) meanDelay() time.Duration { return time.Duration(float64(f.delay) * meanAge) }

// horizon returns the time over which use may be unknown to others.
func (f fleetView) horizon() time.Duration { return max(ReportHorizon, f.delay) }

// partDecision is the decision on a request.
type partDecision struct {
	admitted bool
	// paid is charged to the part, also where the request is refused.
	paid float64
	// wait is the time after which the part suffices for the request.
	wait time.Duration
	// pace is the part of the request that the part suffices for.
	pace float64
}

// record adds to the recent use.
func (p *part) record(now time.Time, s span) {
	if p.recent == nil {
		p.recent = &recentUse{}
	}
	p.recent.add(now, s)
}

// offer records a request, whether it is admitted or not.
func (p *part) offer(now time.Time, tokens float64) {
	p.count(tokens)
	p.record(now, span{offered: tokens, squares: tokens * tokens, evidence: min(tokens, p.size()), used: -p.returned})
	p.returned = 0
}

// decide decides on a request that the level covers. The roll is a random number below 1.
func (p *part) decide(now time.Time, fleet fleetView, bucket Bucket, tokens, roll float64) partDecision {
	if fleet.instances <= 1 || tokens <= smallShare*p.size() {
		return partDecision{admitted: true, paid: tokens}
	}
	p.updateShare(now, fleet, p.recent.rate(now, ownDemandPeriod+fleet.delay, fleet.delay).Rate)
	recent := p.recent.within(now, fleet.horizon())
	before := bucket.Tokens() + recent.used + p.recent.within(now, fleet.horizon()-fleet.meanDelay()).heard
	whole := max(before-p.reserve(fleet, bucket), 0)
	demand := p.others.Rate*fleet.horizon().Seconds() + recent.offered
	usual := p.usual(p.share * demand)
	pace := p.pace(fleet, bucket, recent, whole, demand, usual, tokens)
	own := p.share * whole
	limit := own + capDeviations*math.Sqrt(own*p.size()) + p.size()*min(p.size()/max(own, 1), capRequests)
	if demand <= whole {
		limit = max(limit, usual)
	}
	counted := min(tokens, max(p.size(), own*countedShare))
	admission := min(pace, max(limit-recent.paid, 0)/counted)
	return partDecision{
		admitted: roll < admission, paid: counted * min(admission, 1), pace: min(admission, 1),
		wait: time.Duration(max(1-admission, 0) * tokens / max(p.share*bucket.rate, 1) * float64(time.Second)),
	}
}

// pace returns the part of the demand that the tokens suffice for.
func (p *part) pace(fleet fleetView, bucket Bucket, recent span, whole, demand, usual, tokens float64) float64 {
	if recent.evidence <= max(usual, p.share*whole) && bucket.Tokens()-tokens >= p.others.Rate*fleet.meanDelay().Seconds()+p.reserve(fleet, bucket) {
		return 1
	}
	if recent.evidence > usual {
		demand += max(recent.offered-usual, 0) / max(p.share, 1/float64(fleet.instances))
	}
	return min(whole/demand, 1)
}

// usual returns what callers may ask for here without showing that the demand has risen, where they are expected to ask for the tokens.
func (p *part) usual(expected float64) float64 {
	return expected + surgeDeviations*math.Sqrt(expected*p.size()) + surgeRequests*p.size()
}

// reserve returns by how much the use that is not reported yet may exceed its mean.
func (p *part) reserve(fleet fleetView, bucket Bucket) float64 {
	tokens := p.others.Rate * fleet.delay.Seconds()
	return min(reserveDeviations*math.Sqrt(tokens*p.size()), maxReserve*bucket.burst)
}

// unreported returns the mean use by others that is not reported yet, where they use the refill of the bucket at most.
func (p *part) unreported(fleet fleetView, rate float64) float64 {
	if fleet.instances <= 1 {
		return 0
	}
	return min(p.others.Rate, rate) * fleet.meanDelay().Seconds()
}

// unheard returns what was used lately by this instance and those within reach, of which instances that have just become unreachable may
// not have heard.
func (p *part) unheard(now time.Time) float64 {
	if p.recent == nil {
		return 0
	}
	recent := p.recent.within(now, ReportHorizon)
	return recent.used + recent.heard
}

// startLevel returns the level with which an account that others already use begins at this instance: full but for what they have used
// lately, and no more than is usually left where they ask for more than the rate.
func (p *part) startLevel(now time.Time, fleet fleetView, rate, burst float64) float64 {
	level := burst
	if p.recent != nil {
		level = p.recent.levelAfter(now, rate, burst)
	}
	if p.smoothed.Rate > overload*rate {
		level = min(level, p.unreported(fleet, rate)+startShare*burst)
	}
	return level
}

// isIdle reports whether the recent use is forgotten by now.
func (p *part) isIdle(now time.Time) bool {
	return p.recent != nil && now.Sub(p.recent.began) > recentSpans*spanLength && p.recent.within(now, recentSpans*spanLength) == span{}
}
