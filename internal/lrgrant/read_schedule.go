package lrgrant

import "time"

const (
	// firstBackOff is the time between the first readings of a process that lacks something.
	firstBackOff = 250 * time.Millisecond
	// firstReads are the readings that follow one another without back-off.
	firstReads = 4
)

// A readSchedule says when the platform is read: at each period while all is well. A process that lacks something, its
// place in the view or the present views, reads sooner at first and then backs off, so that a restart of all instances
// stays within the platform's rate.
type readSchedule struct {
	period   time.Duration
	last     time.Time
	attempts int
}

// isDue reports whether the platform should be read now. The jitter lies between 0 and 1.
func (s *readSchedule) isDue(now time.Time, lacking bool, jitter float64) bool {
	wait := s.period
	switch {
	case s.last.IsZero():
		return true
	case lacking:
		wait = s.backOff()
	}
	return now.Sub(s.last) >= wait/2+time.Duration(jitter*float64(wait)/2)
}

// read notes that the platform is being read.
func (s *readSchedule) read(now time.Time, lacking bool) {
	s.last = now
	s.attempts++
	if !lacking {
		s.attempts = 0
	}
}

func (s *readSchedule) backOff() time.Duration {
	wait := firstBackOff
	for n := firstReads; n < s.attempts && wait < s.period; n++ {
		wait *= 2
	}
	return min(wait, s.period)
}
