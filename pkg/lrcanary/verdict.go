package lrcanary

import (
	"fmt"
	"math"
	"slices"
)

// A Verdict says why a release is bad.
type Verdict struct {
	// Route is the route on which it is bad, empty for all routes together.
	Route string
	// Reason is what is wrong.
	Reason string
	// New and Old are the answers that were compared, without the worst group of servers of each release where there are several.
	New Counts
	Old Counts
	// Chance is the probability of the answers, or worse ones, if the release is as good as the old one.
	Chance float64
}

// String returns the verdict with its figures.
func (v Verdict) String() string {
	bad := func(c Counts) int64 {
		if v.Reason == reasonSlow {
			return c.Slow
		}
		return c.Failed
	}
	return fmt.Sprintf("%s on %q: %d of %d, the old release %d of %d, chance %.2g", v.Reason, v.Route, bad(v.New), v.New.Answers, bad(v.Old), v.Old.Answers, v.Chance)
}

const (
	reasonFailures = "failures"
	reasonSlow     = "slow"
	// reasonSilent is the reason of a release that has answered nothing within the duration.
	reasonSilent = "no answers"
)

// A bar is what evidence must exceed for a verdict.
type bar struct {
	// chance is the highest probability of the evidence if the release is as good as the old one.
	chance float64
	least  int64
	// tolerance is added to the rate of the old release.
	tolerance float64
}

// ratio is how many times the rate of bad answers of the old release the new one may have. Load and routes are never quite the same.
const ratio = 1.3

// failureBar and slowBar apply all the time, at each look at the evidence. Answers are slow for reasons such as empty caches at new servers,
// therefore slowBar is higher, and the recent answers must exceed stillSlowBar.
func failureBar() bar   { return bar{chance: 2e-5, least: 5, tolerance: 0.005} }
func slowBar() bar      { return bar{chance: 1e-5, least: 8, tolerance: 0.05} }
func stillSlowBar() bar { return bar{chance: 0.02, least: 3, tolerance: 0.05} }

// lateBar applies once, before the traffic moves. While doubtBar is exceeded, the observation goes on as long as the duration allows.
func lateBar() bar  { return bar{chance: 0.002, least: 4, tolerance: 0.005} }
func doubtBar() bar { return bar{chance: 0.03, least: 3, tolerance: 0.005} }

// isExceeded compares bad answers of the new release with those of the old one, and returns the probability.
func (b bar) isExceeded(n, bad, oldN, oldBad int64) (float64, bool) {
	if bad < b.least {
		return 1, false
	}
	rate := (float64(oldBad) + 0.5) / (float64(oldN) + 1)
	chance := tail(n, bad, math.Min(ratio*rate+b.tolerance, 1))
	return chance, chance < b.chance
}

// tail returns the probability of at least k of n when each has the probability p, or 1 if k is not above the mean.
func tail(n, k int64, p float64) float64 {
	if p >= 1 || float64(k) <= float64(n)*p {
		return 1
	}
	logP, logQ := math.Log(p), math.Log1p(-p)
	all, _ := math.Lgamma(float64(n) + 1)
	sum := 0.0
	for i := k; i <= n; i++ {
		a, _ := math.Lgamma(float64(i) + 1)
		b, _ := math.Lgamma(float64(n-i) + 1)
		term := math.Exp(all - a - b + float64(i)*logP + float64(n-i)*logQ)
		sum += term
		// Beyond the mean the terms shrink at least geometrically.
		if term < sum*1e-9 {
			break
		}
	}
	return math.Min(sum, 1)
}

// comparison holds the answers of both releases on one route, by group of servers.
type comparison struct{ old, new [groups]Counts }

// compare divides the evidence of an order by route. The empty route holds all routes together.
func compare(order uint64, e Evidence) map[string]*comparison {
	routes := map[string]*comparison{"": {}}
	for key, c := range e {
		if key.Order != order || key.Group >= groups {
			continue
		}
		if routes[key.Route] == nil {
			routes[key.Route] = &comparison{}
		}
		for _, route := range []string{key.Route, ""} {
			r := routes[route]
			if key.IsNew {
				r.new[key.Group] = r.new[key.Group].Plus(c)
			} else {
				r.old[key.Group] = r.old[key.Group].Plus(c)
			}
			if route == "" {
				break
			}
		}
	}
	return routes
}

// minBadOfOneGroup is the number of bad answers from which those of one group of servers are enough, although the release has others that
// have not answered.
const minBadOfOneGroup = 20

// sumWithoutWorst adds the groups up, without the one that has the most bad answers when others are left: a server that is unhealthy says
// nothing about its release. It also returns the number of groups that have answered.
func sumWithoutWorst(byGroup [groups]Counts, bad func(Counts) int64) (Counts, int) {
	var sum Counts
	worst, active := -1, 0
	for g, c := range byGroup {
		sum = sum.Plus(c)
		if c.Answers <= 0 {
			continue
		}
		active++
		if worst < 0 || bad(c) > bad(byGroup[worst]) {
			worst = g
		}
	}
	if active < 2 {
		return sum, active
	}
	return sum.Minus(byGroup[worst]), active
}

// minOldAnswers is the number of recent answers of the old release below which all of them since the order are compared.
const minOldAnswers = 50

// judgeBy returns a verdict on one kind of bad answers. Recent answers of the old release are replaced by all of them where there are few.
func (e exam) judgeBy(reason string, b bar, bad func(Counts) int64, routes, since map[string]*comparison) (Verdict, bool) {
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r := routes[name]
		n, active := sumWithoutWorst(r.new, bad)
		old, _ := sumWithoutWorst(r.old, bad)
		if old.Answers < minOldAnswers && since[name] != nil {
			old, _ = sumWithoutWorst(since[name].old, bad)
		}
		if active < 2 && e.hasSeveral && bad(n) < minBadOfOneGroup {
			continue
		}
		chance, isBad := b.isExceeded(n.Answers, bad(n), old.Answers, bad(old))
		if isBad {
			return Verdict{Route: name, Reason: reason, New: n, Old: old, Chance: chance}, true
		}
	}
	return Verdict{}, false
}

func failedOf(c Counts) int64 { return c.Failed }
func slowOf(c Counts) int64   { return c.Slow }

// exam is what is judged: the evidence on an order.
type exam struct {
	order uint64
	// hasSeveral is set when the release has servers of several groups.
	hasSeveral bool
}

// judge returns a verdict when the evidence since the order, or the recent part of it, shows that the release is bad. Slow answers must show
// in both, because those of new servers with empty caches end by themselves.
func (e exam) judge(since, recent Evidence) (Verdict, bool) {
	all, late := compare(e.order, since), compare(e.order, recent)
	for _, routes := range []map[string]*comparison{all, late} {
		v, isBad := e.judgeBy(reasonFailures, failureBar(), failedOf, routes, all)
		if isBad {
			return v, true
		}
	}
	v, isSlow := e.judgeBy(reasonSlow, slowBar(), slowOf, all, all)
	if !isSlow {
		return Verdict{}, false
	}
	_, isSlow = e.judgeBy(reasonSlow, stillSlowBar(), slowOf, late, all)
	return v, isSlow
}

// judgeLate returns a verdict on evidence that is too weak for judge but too strong to move the traffic.
func (e exam) judgeLate(since Evidence) (Verdict, bool) {
	all := compare(e.order, since)
	return e.judgeBy(reasonFailures, lateBar(), failedOf, all, all)
}

// isInDoubt reports whether more evidence is wanted before the traffic moves.
func (e exam) isInDoubt(since Evidence) bool {
	all := compare(e.order, since)
	_, isInDoubt := e.judgeBy(reasonFailures, doubtBar(), failedOf, all, all)
	return isInDoubt
}
