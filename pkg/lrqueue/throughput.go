package lrqueue

import (
	"math"
	"time"
)

const (
	// throughputWindow is the time constant with which past service decays.
	throughputWindow = 10 * time.Second
	// throughputWarmup is the busy time until which the throughput counts as unknown.
	throughputWarmup = time.Second
)

// throughput estimates the tokens served per second of busy time.
type throughput struct {
	tokens  float64
	busy    time.Duration
	updated time.Time
}

// advance decays the estimate by the elapsed time and counts that time as busy if there was work.
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
	decay := math.Exp(-elapsed.Seconds() / throughputWindow.Seconds())
	t.tokens *= decay
	t.busy = time.Duration(float64(t.busy)*decay) + elapsed
}

func (t *throughput) served(tokens int) { t.tokens += float64(tokens) }

// timeFor returns the time that serving the tokens takes, or zero while the throughput is unknown.
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
