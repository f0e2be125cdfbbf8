package lrorder

import "hash/fnv"

// ShardsPerZone is the number of shards of the engines of an availability zone. Their holders load the weights of one
// engine at a time each, so that no more than two loads share the weight store of a zone.
const ShardsPerZone = 2

// Shard returns the shard that the engine belongs to.
func Shard(engine string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(engine))
	return int(sum.Sum32() % ShardsPerZone)
}
