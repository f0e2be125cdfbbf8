package lrqueue

import (
	"math"
	"time"
)

const (
	// throughputWindow is the time over which past service is forgotten.
	throughputWindow = 10 * time.Second
	// throughputWarmup is the busy time before which the throughput counts as unknown.
	throughputWarmup = time.Second
)

// throughput estimates the tokens served in a second of busy time.
type throughput struct {
	tokens  float64
	busy    time.Duration
	updated time.Time
}

// advance forgets with the time that has passed, and counts it as busy time if there was work.
func (t *throughput) advance(now time.Time, busy bool) {
	elapsed := now.Sub(t.updated)
	if t.updated.IsZero() || elapsed <= 0 {
		t.updated = maxTime(t.updated, now)
		return
	}
	t.updated = now
	if !busy {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / throughputWindow.Seconds())
	t.tokens *= keep
	t.busy = time.Duration(float64(t.busy)*keep) + elapsed
}

func (t *throughput) served(tokens int) { t.tokens += float64(tokens) }

// timeFor returns the time that the tokens need, or zero while the throughput is unknown.
func (t *throughput) timeFor(tokens int) time.Duration {
	if t.busy < throughputWarmup || t.tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / t.tokens * float64(t.busy))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
