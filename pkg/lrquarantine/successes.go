package lrquarantine

import "time"

// successes remembers when requests with a trait were last completed. It holds two generations of a bounded size, so that the traits that
// are used most are remembered longest.
type successes struct {
	capacity          int
	current, previous map[Trait]time.Time
}

func newSuccesses(capacity int) *successes {
	return &successes{capacity: capacity, current: map[Trait]time.Time{}}
}

// add records that a request with the trait was completed.
func (s *successes) add(at time.Time, trait Trait) {
	if s.last(trait).After(at) {
		return
	}
	if len(s.current) >= s.capacity {
		s.previous, s.current = s.current, map[Trait]time.Time{}
	}
	s.current[trait] = at
}

// last returns when a request with the trait was last completed, or the zero time.
func (s *successes) last(trait Trait) time.Time {
	at, ok := s.current[trait]
	if !ok {
		at = s.previous[trait]
	}
	return at
}
