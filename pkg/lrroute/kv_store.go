package lrroute

import (
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// minImportTime is the shortest time that an import takes.
	minImportTime = 5 * time.Millisecond
	// initialImportHitRate is the fraction of the known blocks that is expected in the KV store before the first response.
	initialImportHitRate = 0.9
	// minImportHitRate is the hit rate below which an import is not worth the attempt.
	minImportHitRate = 0.3
	// importRetryInterval is the time after which a KV store with too low a hit rate is tried again.
	importRetryInterval = 10 * time.Second
)

// A KVStore is a KV store, an external store of key/value caches from which engines import blocks.
type KVStore struct {
	Address string
	Zone    string
}

// kvStoreState holds the address and the observed hit rate of the KV store in use.
type kvStoreState struct {
	address string
	// hitRate is the moving average of the fraction of the requested blocks that responses showed as imported.
	hitRate   float64
	updatedAt time.Time
}

// SetKVStores replaces the KV stores. The first one in the zone of this instance is used, or the first of all when there is none in the
// zone.
func (n *NestedPlacer) SetKVStores(now time.Time, stores []KVStore) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := ""
	if len(stores) > 0 {
		near := slices.IndexFunc(stores, func(s KVStore) bool { return s.Zone == n.options.zone })
		address = stores[max(0, near)].Address
	}
	if address != n.kvStore.address {
		n.kvStore = kvStoreState{address: address, hitRate: initialImportHitRate, updatedAt: now}
	}
}

// expectedHitRate returns the fraction of the requested blocks that an import is expected to find. A KV store with too low a hit rate is
// tried again after importRetryInterval.
func (k *kvStoreState) expectedHitRate(now time.Time) float64 {
	switch {
	case k.address == "":
		return 0
	case k.hitRate < minImportHitRate && now.Sub(k.updatedAt) > importRetryInterval:
		return initialImportHitRate
	default:
		return k.hitRate
	}
}

// observeImport moves the hit rate towards the fraction of the requested blocks that was imported.
func (k *kvStoreState) observeImport(now time.Time, requested, imported int) {
	if requested > 0 {
		sample := min(1, max(0, float64(imported)/float64(requested)))
		k.hitRate += hitRateStep * (sample - k.hitRate)
		k.updatedAt = now
	}
}

// importSaving returns the time that an import saves the candidate. It is zero or negative when computing is cheaper.
func (n *NestedPlacer) importSaving(now time.Time, c *candidate) time.Duration {
	blocks := n.importableBlocks(c)
	if blocks == 0 || n.kvStore.address == "" {
		return 0
	}
	saved := float64(blocks*lrprefix.BlockTokens) * float64(n.prefillPerToken)
	return time.Duration(saved*(n.kvStore.expectedHitRate(now)-n.options.importCostRatio)) - minImportTime
}

// importFrom returns the address of the KV store from which the engine shall import the known blocks that it lacks. The address is given
// also when the engine is estimated to have them cached, because it may have evicted them since.
func (n *NestedPlacer) importFrom(now time.Time) string {
	if n.scratch.known == 0 || n.kvStore.expectedHitRate(now) <= n.options.importCostRatio {
		return ""
	}
	return n.kvStore.address
}

// importableBlocks returns the number of blocks that some engine has recently served and this one is not estimated to have cached.
func (n *NestedPlacer) importableBlocks(c *candidate) int {
	return max(0, n.scratch.known-c.estimated)
}
