package lrgateway

import (
	"slices"
	"time"
)

// A FreshnessChecker checks whether the configuration is recent enough to verify keys against it.
type FreshnessChecker interface {
	// Check returns an error while keys must not be accepted.
	Check(now time.Time) error
}

// freshnessGuard refuses calls while the configuration may be out of date, as their keys may have been withdrawn. Calls on open
// routes need no key and pass.
type freshnessGuard struct{ freshness FreshnessChecker }

func (g *freshnessGuard) Check(now time.Time, call *Call) error {
	if call.Route != nil && call.Route.Open {
		return nil
	}
	return g.freshness.Check(now)
}

// withFreshness returns the guards, preceded by a freshnessGuard if freshness is not nil.
func withFreshness(guards []Guard, freshness FreshnessChecker) []Guard {
	if freshness == nil {
		return guards
	}
	return slices.Insert(guards, 0, Guard(&freshnessGuard{freshness: freshness}))
}
