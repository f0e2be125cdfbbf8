package lrretry

import "time"

// A Backoff spaces retries exponentially, with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the wait before a retry. The first retry has number zero. The random value is in [0, 1).
func (b Backoff) Delay(retry int, random float64) time.Duration {
	bound := b.Base
	for range retry {
		bound = min(2*bound, b.Max)
	}
	return time.Duration(random * float64(bound))
}
