package lrgrant

import "time"

const (
	// minReadBackoff is the time between the first reads of an instance that lacks something.
	minReadBackoff = 250 * time.Millisecond
	// readsBeforeBackoff is the number of reads before the backoff begins to grow.
	readsBeforeBackoff = 4
)

// A readSchedule decides when the platform is read, normally once in each period. An instance that lacks something, its
// membership in the view or the present views of zones, reads more often at first and then with exponential backoff, so
// that a restart of all instances stays within the platform's rate limit.
type readSchedule struct {
	period     time.Duration
	lastReadAt time.Time
	attempts   int
}

// isDue reports whether the platform should be read now. The jitter is between 0 and 1.
func (s *readSchedule) isDue(now time.Time, lacking bool, jitter float64) bool {
	wait := s.period
	switch {
	case s.lastReadAt.IsZero():
		return true
	case lacking:
		wait = s.backoff()
	}
	return now.Sub(s.lastReadAt) >= wait/2+time.Duration(jitter*float64(wait)/2)
}

// recordRead records that the platform is being read.
func (s *readSchedule) recordRead(now time.Time, lacking bool) {
	s.lastReadAt = now
	s.attempts++
	if !lacking {
		s.attempts = 0
	}
}

func (s *readSchedule) backoff() time.Duration {
	wait := minReadBackoff
	for n := readsBeforeBackoff; n < s.attempts && wait < s.period; n++ {
		wait *= 2
	}
	return min(wait, s.period)
}
