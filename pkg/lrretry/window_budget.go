package lrretry

import (
	"sync"
	"time"
)

// windowSlots is the number of parts into which the window of a WindowBudget is divided.
const windowSlots = 20

// A WindowBudget bounds repeats within any window of time to a share of the first sendings in it, and a number beyond
// that. It is safe for use by several goroutines.
type WindowBudget struct {
	share  float64
	window time.Duration

	mutex   sync.Mutex
	slot    int64
	firsts  [windowSlots]int
	repeats [windowSlots]int
}

// NewWindowBudget returns a WindowBudget that has counted nothing yet.
func NewWindowBudget(share float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, window: window}
}

// Earn counts a first sending.
func (b *WindowBudget) Earn(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.firsts[b.slot%windowSlots]++
}

// Spend takes one repeat and reports whether there was one. The extra number may be used beyond the share.
func (b *WindowBudget) Spend(now time.Time, extra float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if float64(sum(b.repeats)+1) > b.share*float64(sum(b.firsts))+extra {
		return false
	}
	b.repeats[b.slot%windowSlots]++
	return true
}

// advance forgets what has left the window. It must be called with the mutex held.
func (b *WindowBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.window/windowSlots)
	for s := max(b.slot+1, slot-windowSlots+1); s <= slot; s++ {
		b.firsts[s%windowSlots], b.repeats[s%windowSlots] = 0, 0
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
