package lrroute

import "github.com/lavenderrouter/lavenderrouter/pkg/lrhash"

// Owner returns the position of the member that is responsible for the name: the one with the highest hash of both.
// When a member leaves, only what it was responsible for moves.
func Owner(name string, members []string) int {
	best, bestHash := -1, uint64(0)
	for n, m := range members {
		hash := lrhash.Pair(name, m)
		if best < 0 || hash > bestHash {
			best, bestHash = n, hash
		}
	}
	return best
}
