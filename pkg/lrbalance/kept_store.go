package lrbalance

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

const (
	// keptLife is how long a kept store is believed to hold a part that was saved there. It holds far more than an engine.
	keptLife = 20 * time.Second
	// freshLife is how long after its last use an engine is rather asked for a part than a kept store that holds it too.
	freshLife = 2500 * time.Millisecond
	// minSaved is the least number of shared tokens that is worth a save.
	minSaved = 400
	// farTransfer is how many times as long a transfer to another availability zone takes.
	farTransfer = 2
	// keptStorePrefix sets the names of kept stores apart from those of engines where both are told.
	keptStorePrefix = "keptStore/"
)

// A Store keeps KV cache beside the engines. The zero Store is none.
type Store struct {
	Address string
	Zone    string
	// TokensPerMilli is the number of tokens that its link moves in a millisecond. Zero means that it is not known.
	TokensPerMilli float64
}

// name returns the name under which beliefs on the store are kept.
func (s Store) name() string { return keptStorePrefix + s.Address }

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

// storeOf returns the one of the stores that keeps the request's shared parts, on which all instances agree: together they hold more than
// any of them. It is the zero Store where there is none.
func storeOf(request Request) Store {
	home := homeKey(request)
	var best Store
	if home == "" {
		return best
	}
	bestScore := uint64(0)
	for _, s := range request.Stores {
		score := lrhash.Pair(home, s.Address)
		if !best.exists() || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// isWorthSaving reports whether the chosen engine shall send the shared parts to the store: it lacks some, and the store is not known
// to have got them lately. What is made under old weights is soon of no more use.
func (p placement) isWorthSaving(now time.Time, chosen Choice, cached int) bool {
	if !p.store.exists() || chosen.Engine.OutdatedFor > 0 || p.shared < minSaved || cached >= p.shared {
		return false
	}
	return p.balancer.beliefs.cached(now, p.store.name(), chosen.runs) < p.shared
}
