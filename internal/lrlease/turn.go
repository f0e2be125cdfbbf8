package lrlease

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// turnWait returns for how long this instance must not acquire the lease yet, because it held the lease within the turn interval, or may have
// done so in an earlier process, and another instance has held it since. Receivers that do not check fencing numbers would take such
// instances for two holders at the same time.
func (k *Keeper) turnWait(now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.isInterrupted() {
		return 0
	}
	return k.turnInterval - now.Sub(k.lastTurnEnd())
}

// isInterrupted reports whether another instance may have held the lease after this one. It must be called with the mutex held.
func (k *Keeper) isInterrupted() bool {
	if k.object.Version == 0 && !k.isOutdated() {
		return false
	}
	holders := k.lease.holders()
	if holders == nil || k.isOutdated() {
		return true
	}
	self := instanceOf(k.holder)
	last := len(holders) - 1
	if last >= 0 && holders[last] == self {
		return false
	}
	return !k.heldUntil.IsZero() || slices.Contains(holders, self)
}

// lastTurnEnd returns the time after which this instance has certainly not held the lease. Earlier processes of the instance ended before this
// one started. It must be called with the mutex held.
func (k *Keeper) lastTurnEnd() time.Time {
	if k.heldUntil.IsZero() {
		return k.createdAt
	}
	return k.heldUntil
}

// endTurn ends the validity of the lease at once. It must be called with the mutex held.
func (k *Keeper) endTurn(now time.Time) {
	if k.validUntil.After(now) {
		k.heldUntil = now
	}
	k.validUntil = time.Time{}
}

// acquisition returns the object to write and the lease with this instance as its holder.
func (k *Keeper) acquisition() (lrplatform.Object, Lease) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	lease := k.lease
	switch {
	case k.isOutdated():
		lease = lease.WithUnknownHolders()
	case k.object.Version == 0:
		lease = firstLease()
	}
	return k.object, lease.WithHolder(k.holder, uuid.NewString(), k.validity)
}

// renewal returns the object to write and the lease that this instance holds, renewed.
func (k *Keeper) renewal(now time.Time) (lrplatform.Object, Lease) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	lease := k.lease.WithRenewal(uuid.NewString())
	if now.Sub(k.heldSince) < k.turnInterval {
		return k.object, lease
	}
	return k.object, lease.WithoutRecentHolders()
}
