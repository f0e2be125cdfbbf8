package lrroute

import "github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"

// The constants are those of jump consistent hashing (Lamping and Veach) and of SplitMix64.
const (
	jumpMultiplier = 2862933555777941757
	jumpScale      = 1 << 31
	mixFirst       = 0xbf58476d1ce4e5b9
	mixSecond      = 0x94d049bb133111eb
	mixStep        = 0x9e3779b97f4a7c15
)

// mix is the finalizer of SplitMix64: it spreads the bits of a value evenly.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= mixFirst
	value ^= value >> 27
	value *= mixSecond
	return value ^ value>>31
}

// jumpHash assigns a key to one of the buckets by jump consistent hashing. When a bucket is added, about one key in buckets moves, and only
// to the new bucket.
func jumpHash(key uint64, buckets int) int {
	bucket, next := int64(-1), int64(0)
	for next < int64(buckets) {
		bucket = next
		key = key*jumpMultiplier + 1
		next = int64(float64(bucket+1) * (jumpScale / float64((key>>33)+1)))
	}
	return int(bucket)
}

// blockKey returns the first eight bytes of the identity of a block.
func blockKey(id lrprefix.ID) uint64 {
	var key uint64
	for n := range 8 {
		key = key<<8 | uint64(id[n])
	}
	return key
}

// memberKey returns the hash key of the numbered member of the subset of a block.
func memberKey(id lrprefix.ID, member int) uint64 {
	return mix(blockKey(id) + uint64(member)*mixStep)
}
