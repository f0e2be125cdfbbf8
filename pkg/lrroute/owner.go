package lrroute

import "github.com/lavenderrouter/lavenderrouter/pkg/lrhash"

// Owner returns the position of the member that owns the name by rendezvous hashing, or -1 when there are no members. When a member
// leaves, only the names that it owned move.
func Owner(name string, members []string) int {
	best, bestHash := -1, uint64(0)
	for n, m := range members {
		hash := lrhash.RendezvousScore(name, m)
		if best < 0 || hash > bestHash {
			best, bestHash = n, hash
		}
	}
	return best
}
