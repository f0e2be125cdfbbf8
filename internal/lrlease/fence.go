package lrlease

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const (
	// fenceStride is the distance between the first fencing numbers of two eras of the store. It is above every version of an object in one era.
	fenceStride uint64 = 1 << 32
	// maxFenceEra bounds the eras that have fencing numbers of their own, so that all numbers are below maxFence.
	maxFenceEra uint64 = 1 << 20
	// maxFence is the highest whole number that receivers read exactly which hold numbers of JSON as floating-point numbers.
	maxFence uint64 = 1<<53 - 1
)

// firstFence returns the number above which the fencing numbers of the era are. Those of a store that names no era begin with one.
func firstFence(era uint64) uint64 { return min(era, maxFenceEra) * fenceStride }

// eraFloor returns a number that is at least as high as every fencing number given out up to this version of the lease, in this era and
// earlier ones. The version is part of it, because a write from before a restore may set the number in the lease back: versions only grow
// within an era.
func eraFloor(object lrplatform.Object) uint64 {
	if object.Era == 0 {
		return 0
	}
	return firstFence(object.Era) + min(object.Version, fenceStride-1)
}

// HighestFence returns the highest fencing number that this Keeper knows of, its own or that of another holder.
func (k *Keeper) HighestFence() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.highestFence
}

// RecordFence records a fencing number that another instance knows of, so that the numbers that this Keeper gives out are higher. One that
// no holder can have is ignored.
func (k *Keeper) RecordFence(fence uint64) {
	if fence > maxFence {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.highestFence = max(k.highestFence, fence)
}

// Refused records that a receiver has refused the fencing number because it has seen a higher one. The next Step then renews the lease under
// a higher number, or loses it: that this instance holds the lease is certain only once the store has confirmed it. A receiver that refuses
// every number costs no more than one such renewal in the validity.
func (k *Keeper) Refused(fence uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.refusedFence = max(k.refusedFence, fence)
}

// mustRaise reports whether the fencing number of the lease that is held is too low: a receiver has refused it, or a higher one is known.
func (k *Keeper) mustRaise(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	isTooLow := k.lease.Fence <= k.refusedFence || k.lease.Fence < k.highestFence
	return isTooLow && now.Sub(k.fencedAt) >= k.validity
}

// fenceFloor returns a number that is at least as high as every fencing number that was given out up to this version of the lease.
func (k *Keeper) fenceFloor(object lrplatform.Object) uint64 {
	return max(k.HighestFence(), eraFloor(object))
}
