package lrfleet

import "time"

// startPhase is how far an instance that has started has joined the enforcement of allowances by all instances.
type startPhase int

const (
	// startComplete means that the instance has asked the others for long enough to know which are unreachable.
	startComplete startPhase = iota
	// startIsolated means that the instance has received no levels, because the others have started at the same time. Each uses only its
	// own share until all have received reports from one another, since the requests that callers sent meanwhile arrive faster than the
	// reports of their usage.
	startIsolated
	// startJoined means that the instance uses the whole allowance from now on. What is left in its own buckets stays.
	startJoined
)

// allowanceShare returns the share of all allowances that this instance and those it reaches may use together. It must be called with the
// mutex held.
func (s *Sharer) allowanceShare(now time.Time, others totals) (float64, startPhase) {
	known := float64(len(s.peers) + 1)
	reached := min(float64(others.reached+1)/known, 1)
	switch {
	case s.hasStarted:
		return reached, startComplete
	case now.Sub(s.startedAt) < unreachableAfter && s.wantsLevels:
		return 1 / known, startIsolated
	case now.Sub(s.startedAt) < unreachableAfter:
		return 1, startJoined
	}
	s.hasStarted = true
	if s.wantsLevels {
		return reached, startJoined
	}
	return reached, startComplete
}

// applyShare passes the share of all allowances to the limiter.
func (s *Sharer) applyShare(now time.Time, share float64, start startPhase) {
	switch start {
	case startIsolated:
		s.Limiter.SetStartupShare(now, share, true)
	case startJoined:
		s.Limiter.SetStartupShare(now, share, false)
	case startComplete:
		s.Limiter.SetShare(now, share)
	}
}
