package lrorder

import "hash/fnv"

// ShardsPerZone is the number of shards into which the engines of an availability zone are divided. The holder of a
// shard loads the weights of one engine at a time, so that at most two loads share the weight store of a zone.
const ShardsPerZone = 2

// Shard returns the shard of the engine.
func Shard(engine string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(engine))
	return int(sum.Sum32() % ShardsPerZone)
}
