// Package lrpause detects pauses of the process, so that state from before a pause is not relied upon.
package lrpause

import (
	"sync"
	"time"
)

// A Detector counts the pauses of the process. It is safe for concurrent use.
type Detector struct {
	threshold time.Duration
	mutex     sync.Mutex
	last      time.Time
	epoch     uint64
}

// NewDetector returns a Detector that counts a gap above the threshold between two calls of Epoch as a pause. Epoch must
// be called more often than that while the process runs.
func NewDetector(now time.Time, threshold time.Duration) *Detector {
	return &Detector{threshold: threshold, last: now}
}

// Epoch returns the number of pauses so far. State from an earlier epoch must be confirmed before it is used.
func (d *Detector) Epoch(now time.Time) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Sub(d.last) > d.threshold {
		d.epoch++
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.epoch
}
