package lrfleet

import "time"

// startState tells how an instance stands to the others' use of allowances.
type startState int

const (
	// startOver instances have asked the others for long enough to tell which are out of reach.
	startOver startState = iota
	// startAlone instances have heard no levels: they started together with the others, and each uses its own part until all have
	// heard one another, since what callers sent meanwhile arrives faster than the news of it.
	startAlone
	// startJoined instances use the whole from now on, with what is left in their own buckets.
	startJoined
)

// share returns the part of the allowances that this instance and those it reaches may use. It must be called with the mutex
// held.
func (s *Sharer) share(now time.Time, others tally) (float64, startState) {
	known := float64(len(s.peers) + 1)
	reached := min(float64(others.reached+1)/known, 1)
	switch {
	case s.hasStarted:
		return reached, startOver
	case now.Sub(s.startedAt) < reachableFor && s.wantsLevels:
		return 1 / known, startAlone
	case now.Sub(s.startedAt) < reachableFor:
		return 1, startJoined
	}
	s.hasStarted = true
	if s.wantsLevels {
		return reached, startJoined
	}
	return reached, startOver
}

// setShare tells the limiter which part of the allowances it may use.
func (s *Sharer) setShare(now time.Time, share float64, start startState) {
	switch start {
	case startAlone:
		s.Limiter.StartWith(now, share, true)
	case startJoined:
		s.Limiter.StartWith(now, share, false)
	case startOver:
		s.Limiter.SetShare(now, share)
	}
}
