package lrorder

import "time"

// Times bound how long an order may be under way.
type Times struct {
	// CallTimeout bounds the call that gives an order.
	CallTimeout time.Duration
	// ValidFor is how long after its receipt an order may still be carried out.
	ValidFor time.Duration
}

// A Holding is the lease of a holder at the present time.
type Holding struct {
	// Left is how long the lease surely lasts.
	Left time.Duration
	// HeldFor is how long ago the holder got the lease.
	HeldFor time.Duration
	// HandedBack tells that the holder before has nothing under way.
	HandedBack bool
}

// MaySend reports whether the holder may give an order now. What the holder before has sent must have ended, so that
// no more weights are loaded at once than there are holders. An engine that checks fencing numbers refuses what comes too
// late by itself; for one that ignores them, the order must end before the lease does.
func (t Times) MaySend(holding Holding, checksFencing bool) bool {
	under := t.CallTimeout + t.ValidFor
	if !holding.HandedBack && holding.HeldFor < under {
		return false
	}
	if checksFencing {
		return holding.Left > t.CallTimeout
	}
	return holding.Left > under
}
