package lrbalance

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

const (
	// storeTTL is how long a KV store is assumed to hold a block that was saved there, where its residency time is
	// unknown.
	storeTTL = 6 * time.Second
	// minStoreTTL and maxStoreTTL bound that time where the residency time is known.
	minStoreTTL = time.Second
	maxStoreTTL = 30 * time.Second
	// longResidency is the residency time above which a store is preferred to engines as the source of blocks.
	longResidency = 6 * time.Second
	// recentUse is how long after its last use of a block an engine is preferred to a KV store as the source of that
	// block.
	recentUse = 2500 * time.Millisecond
	// minSavedTokens is the least number of shared tokens that is worth a save.
	minSavedTokens = 400
	// crossZoneFactor is how many times longer a transfer to another availability zone takes.
	crossZoneFactor = 2
	// minSharedShare is the least share of a prompt that must be shared for a save. The rest of the prompt is saved with
	// it and evicts blocks that other requests need.
	minSharedShare = 0.3
	// storeNamePrefix distinguishes the names of KV stores from the IDs of engines in estimates and updates.
	storeNamePrefix = "keptStore/"
)

// A Store is a KV store, an external store of cached blocks. The zero Store means that there is none.
type Store struct {
	Address string
	Zone    string
	// TokensPerMilli is the number of tokens that its link transfers in a millisecond. Zero means unknown.
	TokensPerMilli float64
	// Residency is how long it keeps a block that is not used. Zero means unknown.
	Residency time.Duration
}

// StoreName returns the name of the KV store at the address. The Balancer uses it where it takes the ID of an engine.
func StoreName(address string) string { return storeNamePrefix + address }

func (s Store) name() string { return StoreName(s.Address) }

// ttl returns how long the store is assumed to hold a block that was saved there.
func (s Store) ttl() time.Duration {
	if s.Residency <= 0 {
		return storeTTL
	}
	return min(max(s.Residency, minStoreTTL), maxStoreTTL)
}

// hasLongResidency reports whether the store is known to keep blocks so long that it is preferred to engines, which may
// have evicted them.
func (s Store) hasLongResidency() bool { return s.exists() && s.Residency > longResidency }

// exists reports whether there is a store.
func (s Store) exists() bool { return s.Address != "" }

// transfer returns how long the store takes to send the tokens to an engine in the availability zone.
func (s Store) transfer(tokens int, zone string) time.Duration {
	took := time.Duration(tokens) * fetchTimePerToken
	if s.TokensPerMilli > 0 {
		took = time.Duration(float64(tokens) / s.TokensPerMilli * float64(time.Millisecond))
	}
	if s.Zone != zone {
		took *= crossZoneFactor
	}
	return took
}

// storeOf returns the store that is responsible for the shared blocks of the home key, or the zero Store where there are
// no stores. All instances choose the same one by hash, so that each block is kept in one store only and the stores
// together hold more.
func storeOf(home string, stores []Store) Store {
	var best Store
	if home == "" {
		return best
	}
	bestScore := uint64(0)
	for _, s := range stores {
		score := lrhash.RendezvousScore(home, s.Address)
		if !best.exists() || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// isWorthSaving reports whether the chosen engine shall save the shared blocks to the store: the engine lacks some of
// them, and the store is not known to have received them recently. Blocks under outdated weights are not saved: they
// soon become useless, and the request may be finished under new weights.
func (p placement) isWorthSaving(now time.Time, chosen Choice) bool {
	if !p.store.exists() || chosen.Engine.OutdatedFor > 0 || chosen.cached >= p.shared {
		return false
	}
	if p.shared < minSavedTokens || float64(p.shared) < minSharedShare*float64(p.request.Tokens) {
		return false
	}
	return p.balancer.estimates.sum(now, p.store.name(), chosen.blocks, min(p.store.ttl(), estimateTTL), false) < p.shared
}
