package lrlease

import "github.com/lavenderrouter/lavenderrouter/internal/lrplatform"

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

// fenceFloor returns a number that is at least as high as every fencing number given out up to this version of the lease, in this era and
// earlier ones. The version is part of it, because a write from before a restore may set the number in the lease back: versions only grow
// within an era.
func fenceFloor(object lrplatform.Object) uint64 {
	if object.Era == 0 {
		return 0
	}
	return firstFence(object.Era) + min(object.Version, fenceStride-1)
}
