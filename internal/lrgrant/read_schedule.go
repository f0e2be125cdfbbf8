package lrgrant

import "time"

const (
	// kickPeriod is the least time between readings of the platform, also when views are known to be old.
	kickPeriod = 250 * time.Millisecond
	// firstReads are the readings at the start that follow one another without back-off.
	firstReads = 4
)

// A readSchedule says when the platform is read. A process that is in its zone's view reads at each period; one that
// is not backs off, so that a restart of all instances stays within the platform's rate.
type readSchedule struct {
	period   time.Duration
	last     time.Time
	attempts int
}

// isDue reports whether the platform should be read now. The jitter lies between 0 and 1.
func (s *readSchedule) isDue(now time.Time, joined, kicked bool, jitter float64) bool {
	wait := s.period
	switch {
	case s.last.IsZero():
		return true
	case kicked && joined:
		wait = kickPeriod
	case !joined:
		wait = s.backOff()
	}
	return now.Sub(s.last) >= wait/2+time.Duration(jitter*float64(wait)/2)
}

// read notes that the platform is being read.
func (s *readSchedule) read(now time.Time, joined bool) {
	s.last = now
	s.attempts++
	if joined {
		s.attempts = 0
	}
}

func (s *readSchedule) backOff() time.Duration {
	wait := kickPeriod
	for n := firstReads; n < s.attempts && wait < s.period; n++ {
		wait *= 2
	}
	return min(wait, s.period)
}
