// Package lrpause notices that the process has been paused, so that nothing learned before the pause is relied upon.
package lrpause

import (
	"sync"
	"time"
)

// A Detector counts the pauses of the process. It is safe for use by several goroutines.
type Detector struct {
	bound time.Duration
	mutex sync.Mutex
	last  time.Time
	epoch uint64
}

// NewDetector returns a Detector that takes a silence above the bound for a pause. Epoch must be called more often
// than that while the process runs.
func NewDetector(now time.Time, bound time.Duration) *Detector {
	return &Detector{bound: bound, last: now}
}

// Epoch returns the number of pauses up to the present time. State that was made in another epoch must not be used
// before it has been confirmed.
func (d *Detector) Epoch(now time.Time) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Sub(d.last) > d.bound {
		d.epoch++
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.epoch
}
