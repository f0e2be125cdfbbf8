package lrorder

import "time"

// Timeouts bound how long an order may be in progress.
type Timeouts struct {
	// CallTimeout bounds the call that sends an order.
	CallTimeout time.Duration
	// ValidFor is how long after its receipt an engine may still carry out an order.
	ValidFor time.Duration
}

// MaxDuration returns how long after its sending an order has ended at the latest.
func (t Timeouts) MaxDuration() time.Duration { return t.CallTimeout + t.ValidFor }

// A LeaseStatus is the state of a holder's lease at the present time.
type LeaseStatus struct {
	// Remaining is the time for which the lease is certain to last.
	Remaining time.Duration
	// HeldFor is how long ago the holder acquired the lease.
	HeldFor time.Duration
	// Released means that the previous holder released the lease and has no orders in progress.
	Released bool
}

// MaySend reports whether the holder may send an order now. The orders of the previous holder must have ended, so that
// no more engines load weights at once than there are holders. An engine that checks fencing numbers rejects late orders
// itself. For one that ignores them, the order must end before the lease does.
func (t Timeouts) MaySend(lease LeaseStatus, checksFencing bool) bool {
	if !lease.Released && lease.HeldFor < t.MaxDuration() {
		return false
	}
	if checksFencing {
		return lease.Remaining > t.CallTimeout
	}
	return lease.Remaining > t.MaxDuration()
}
