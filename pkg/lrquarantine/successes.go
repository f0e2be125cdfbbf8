package lrquarantine

import "time"

// successes remembers when requests with a trait were last completed. It holds two generations of a bounded size, so that the traits that
// are used most are remembered longest.
type successes struct {
	// startedAt is the time from which the times in the generations count.
	startedAt         time.Time
	capacity          int
	current, previous map[Trait]time.Duration
}

func newSuccesses(startedAt time.Time, capacity int) *successes {
	return &successes{startedAt: startedAt, capacity: capacity, current: map[Trait]time.Duration{}}
}

// add records that a request with the trait was completed.
func (s *successes) add(at time.Time, trait Trait) {
	last, isKnown := s.lookUp(trait)
	age := at.Sub(s.startedAt)
	if isKnown && last > age {
		return
	}
	if len(s.current) >= s.capacity {
		s.previous, s.current = s.current, map[Trait]time.Duration{}
	}
	s.current[trait] = age
}

// last returns when a request with the trait was last completed, or the zero time.
func (s *successes) last(trait Trait) time.Time {
	last, isKnown := s.lookUp(trait)
	if !isKnown {
		return time.Time{}
	}
	return s.startedAt.Add(last)
}

func (s *successes) lookUp(trait Trait) (time.Duration, bool) {
	last, isKnown := s.current[trait]
	if !isKnown {
		last, isKnown = s.previous[trait]
	}
	return last, isKnown
}
