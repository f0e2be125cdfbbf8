package lrgateway

import (
	"slices"
	"time"
)

// A Freshness tells whether the configuration is recent enough to accept keys by it.
type Freshness interface {
	// Check returns an error while keys must not be accepted.
	Check(now time.Time) error
}

// freshnessGuard refuses keys while the configuration may be out of date. Open routes need none.
type freshnessGuard struct{ freshness Freshness }

func (g *freshnessGuard) Check(now time.Time, call *Call) error {
	if call.Route != nil && call.Route.Open {
		return nil
	}
	return g.freshness.Check(now)
}

// withFreshness returns the guards behind one that asks the freshness, where there is one.
func withFreshness(guards []Guard, freshness Freshness) []Guard {
	if freshness == nil {
		return guards
	}
	return slices.Insert(guards, 0, Guard(&freshnessGuard{freshness: freshness}))
}
