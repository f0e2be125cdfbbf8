package lrquarantine

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrcache"
)

// successes remembers when requests with a trait were last completed. The traits that are used most are remembered longest.
type successes struct {
	// startedAt is the time from which the times of the traits count.
	startedAt time.Time
	times     *lrcache.Generations[Trait, time.Duration]
}

func newSuccesses(startedAt time.Time, capacity int) *successes {
	return &successes{startedAt: startedAt, times: lrcache.NewGenerations[Trait, time.Duration](lrcache.Limits{Entries: capacity})}
}

// add records that a request with the trait was completed.
func (s *successes) add(at time.Time, trait Trait) {
	last, isKnown := s.times.Get(trait)
	age := at.Sub(s.startedAt)
	if isKnown && last > age {
		return
	}
	s.times.Set(at, trait, age)
}

// last returns when a request with the trait was last completed, or the zero time.
func (s *successes) last(trait Trait) time.Time {
	last, isKnown := s.times.Get(trait)
	if !isKnown {
		return time.Time{}
	}
	return s.startedAt.Add(last)
}
