package lrretry

import (
	"sync"
	"time"
)

// windowSlots is the number of slots into which the window of a WindowBudget is divided.
const windowSlots = 20

// A WindowBudget bounds retries within any window of time to a share of the first attempts in it, plus an extra number. It
// is safe for use by several goroutines.
type WindowBudget struct {
	share  float64
	window time.Duration

	mutex sync.Mutex
	// slot is the number of the present slot, counted from the Unix epoch. The counts of slot n have index n modulo
	// windowSlots.
	slot          int64
	firstAttempts [windowSlots]int
	retries       [windowSlots]int
}

// NewWindowBudget returns an empty WindowBudget.
func NewWindowBudget(share float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, window: window}
}

// Earn counts a first attempt.
func (b *WindowBudget) Earn(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.firstAttempts[b.slot%windowSlots]++
}

// Spend takes one retry from the budget and reports whether there was one. It allows extra retries beyond the share.
func (b *WindowBudget) Spend(now time.Time, extra float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if float64(sum(b.retries)+1) > b.share*float64(sum(b.firstAttempts))+extra {
		return false
	}
	b.retries[b.slot%windowSlots]++
	return true
}

// advance clears the slots that have left the window. It must be called with the mutex held.
func (b *WindowBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.window/windowSlots)
	for s := max(b.slot+1, slot-windowSlots+1); s <= slot; s++ {
		b.firstAttempts[s%windowSlots], b.retries[s%windowSlots] = 0, 0
	}
	b.slot = max(b.slot, slot)
}

func sum(counts [windowSlots]int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
