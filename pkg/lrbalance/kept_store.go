package lrbalance

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

const (
	// keptLife is how long a kept store is believed to hold a part that was saved there, where nothing is known of what comes in.
	keptLife = 6 * time.Second
	// minKeptLife and maxKeptLife bound that life where it is known.
	minKeptLife = time.Second
	maxKeptLife = 30 * time.Second
	// lastingFrom is how long a store must keep parts to go before engines.
	lastingFrom = 6 * time.Second
	// freshLife is how long after its last use an engine is rather asked for a part than a kept store that holds it too.
	freshLife = 2500 * time.Millisecond
	// minSaved is the least number of shared tokens that is worth a save.
	minSaved = 400
	// farTransfer is how many times as long a transfer to another availability zone takes.
	farTransfer = 2
	// minSharedPart is the least part of a prompt that must be shared for a save. The rest of the prompt is saved with it, and pushes out
	// what others want.
	minSharedPart = 0.3
	// keptStorePrefix sets the names of kept stores apart from those of engines where both are told.
	keptStorePrefix = "keptStore/"
)

// A Store keeps KV cache beside the engines. The zero Store is none.
type Store struct {
	Address string
	Zone    string
	// TokensPerMilli is the number of tokens that its link moves in a millisecond. Zero means that it is not known.
	TokensPerMilli float64
	// Residency is how long it keeps a part that nobody uses. Zero means that it is not known.
	Residency time.Duration
}

// StoreName returns the name under which the balancer knows the kept store at the address, beside the identities of engines.
func StoreName(address string) string { return keptStorePrefix + address }

func (s Store) name() string { return StoreName(s.Address) }

// life returns how long the store is believed to hold a part that was saved there.
func (s Store) life() time.Duration {
	if s.Residency <= 0 {
		return keptLife
	}
	return min(max(s.Residency, minKeptLife), maxKeptLife)
}

// isLasting reports whether the store is known to keep parts for long, so that it is rather asked than engines that may have evicted them.
func (s Store) isLasting() bool { return s.exists() && s.Residency > lastingFrom }

// exists reports whether there is a store.
func (s Store) exists() bool { return s.Address != "" }

// transfer returns how long the store takes to send the tokens to an engine of the availability zone.
func (s Store) transfer(tokens int, zone string) time.Duration {
	took := time.Duration(tokens) * fetchPerToken
	if s.TokensPerMilli > 0 {
		took = time.Duration(float64(tokens) / s.TokensPerMilli * float64(time.Millisecond))
	}
	if s.Zone != zone {
		took *= farTransfer
	}
	return took
}

// storeOf returns the one of the stores that keeps the shared parts of the home key, on which all instances agree: together they hold more
// than any of them. It is the zero Store where there is none.
func storeOf(home string, stores []Store) Store {
	var best Store
	if home == "" {
		return best
	}
	bestScore := uint64(0)
	for _, s := range stores {
		score := lrhash.Pair(home, s.Address)
		if !best.exists() || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// isWorthSaving reports whether the chosen engine shall send the shared parts to the store: it lacks some, and the store is not known
// to have got them lately. What is made under old weights is soon of no more use, and may be finished under new ones.
func (p placement) isWorthSaving(now time.Time, chosen Choice) bool {
	if !p.store.exists() || chosen.Engine.OutdatedFor > 0 || chosen.cached >= p.shared {
		return false
	}
	if p.shared < minSaved || float64(p.shared) < minSharedPart*float64(p.request.Tokens) {
		return false
	}
	return p.balancer.beliefs.sum(now, p.store.name(), chosen.runs, min(p.store.life(), beliefLife), false) < p.shared
}
