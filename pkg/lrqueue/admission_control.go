package lrqueue

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates of offered, accepted and completed work.
	rateWindow = 2 * time.Second
	// controlGoal is the ratio of the expected wait to the target that the control keeps, without the requests' own time.
	controlGoal = 0.4
	// controlGain is how much the accepted rate differs from the rate of completions for a ratio away from the goal. The reports of other
	// instances' load are up to 0.6 s old; with a higher gain all instances accept and refuse together.
	controlGain = 0.5
	// minControlRate and maxControlRate bound the accepted rate relative to that of completions.
	minControlRate = 0.5
	maxControlRate = 1.25
	// leastCompletions is the number of completions from which on the control applies completely.
	leastCompletions = 10
	// yieldingShare is the share of less urgent work in the completed work from which on it is refused first.
	yieldingShare = 0.1
	// roomMargin is how much more than the offered work is completed where there is room for it.
	roomMargin = 1.1
	// starvingCut is how much less of the urgent work is accepted while less urgent requests starve behind it, and starvingRatio the ratio from
	// which on that applies. Servers that serve the most urgent requests first serve no others while any wait.
	starvingCut   = 1
	starvingRatio = 0.02
	// maxExcess bounds the correction for requests that were accepted beyond the budget, for other reasons.
	maxExcess = 2
	// calmRatio is the ratio up to which nothing is refused, and busyRatio the one from which the control applies completely.
	calmRatio = 0.15
	busyRatio = 0.3
	// controlSmoothing is the time constant of the smoothed ratio, and maxControlRatio bounds the influence of one request.
	controlSmoothing = 200 * time.Millisecond
	maxControlRatio  = 2
	// maxControlStep bounds the time for which one request counts, after a time without requests.
	maxControlStep = 200 * time.Millisecond
)

// control finds the part of the requests of one urgency to refuse, so that the wait stays at a part of the target. It accepts as much work as
// is completed, a little more while the wait is below its goal and a little less while it is above.
type control struct {
	// ratio is the smoothed ratio of the expected wait to the target.
	ratio float64
	at    time.Time
	// offered and accepted are amounts of work.
	offered  decayed
	accepted decayed
}

// observe adds the work of a request and the ratio of its expected wait to its target.
func (c *control) observe(now time.Time, work, ratio float64) {
	elapsed := min(max(now.Sub(c.at), 0), maxControlStep).Seconds()
	c.at = maxTime(c.at, now)
	c.ratio += (min(max(ratio, 0), maxControlRatio) - c.ratio) * (1 - math.Exp(-elapsed/controlSmoothing.Seconds()))
	c.offered.add(now, rateWindow, work)
}

// completions are the requests whose first event has arrived, and their work.
type completions struct{ count, work decayed }

func (c *completions) add(now time.Time, work float64) {
	c.count.add(now, rateWindow, 1)
	c.work.add(now, rateWindow, work)
}

// capacity is what is known of the work that the servers do for the requests of one urgency.
type capacity struct {
	// completed is the work of the completed requests of every urgency, and count their number.
	completed float64
	count     float64
	// reserved is the accepted work of more urgent requests, and yielding that of less urgent ones.
	reserved float64
	yielding float64
	// excess is the work offered by accounts far above their fair share that is refused.
	excess float64
	// starving is how far the completed part of less urgent requests is below its floor, from 0 to 1.
	starving float64
}

// hasRoom reports whether the offered work is less than what the servers complete beside the more urgent requests, so that less urgent requests
// alone are the cause of a wait.
func (c *control) hasRoom(now time.Time, k capacity) bool {
	return k.count >= leastCompletions && roomMargin*c.offered.value(now, rateWindow) <= k.completed-k.reserved
}

// part returns the part of the requests to refuse. Few completions have little weight, as after a start or a pause. Requests are not slowed down
// while less urgent ones can be refused instead.
func (c *control) part(now time.Time, k capacity) float64 {
	rate := min(max(1+controlGain*(controlGoal-c.ratio)-starvingCut*k.starving, minControlRate), maxControlRate)
	if k.starving == 0 && k.yielding > yieldingShare*k.completed {
		rate = max(rate, 1)
	}
	budget := max(k.completed*rate-k.reserved, 0)
	excess := max(c.accepted.value(now, rateWindow)/max(budget, 1), 1)
	offered := max(c.offered.value(now, rateWindow)-k.excess*c.applied(k), 1)
	return max(1-budget/offered/min(excess, maxExcess), 0) * c.applied(k)
}

// applied returns how much the control applies: completely while requests wait and enough of them complete.
func (c *control) applied(k capacity) float64 {
	calm := calmRatio - (calmRatio-starvingRatio)*k.starving
	return c.strengthAbove(calm) * min(k.count/leastCompletions, 1)
}

// strength returns how much requests wait: 0 while they hardly do, 1 from busyRatio on.
func (c *control) strength() float64 { return c.strengthAbove(calmRatio) }

func (c *control) strengthAbove(calm float64) float64 {
	return min(max((c.ratio-calm)/(busyRatio-calmRatio), 0), 1)
}
