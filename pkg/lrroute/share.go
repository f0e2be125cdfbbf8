package lrroute

import "hash/fnv"

// Owner returns the position of the member that is responsible for the name: the one with the highest hash of both.
// When a member leaves, only what it was responsible for moves.
func Owner(name string, members []string) int {
	best, bestHash := -1, uint64(0)
	for n, m := range members {
		hash := pairHash(name, m)
		if best < 0 || hash > bestHash {
			best, bestHash = n, hash
		}
	}
	return best
}

func pairHash(name, member string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(member))
	return mix(hash.Sum64())
}
