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

// MaySend reports whether the holder may give an order now. An engine that checks fencing numbers refuses what comes
// too late by itself. For one that ignores them, the order must have ended before the lease does, and what the holder
// before has sent must have ended.
func (t Times) MaySend(holding Holding, checksFencing bool) bool {
	if holding.Left <= t.CallTimeout {
		return false
	}
	if checksFencing {
		return true
	}
	if holding.Left <= t.CallTimeout+t.ValidFor {
		return false
	}
	return holding.HandedBack || holding.HeldFor >= t.CallTimeout+t.ValidFor
}
