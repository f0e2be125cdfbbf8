package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// cacheUpdateLag is the time by which a report of evictions may be late. A block that was used within that time is not dropped.
const cacheUpdateLag = time.Second

// A CacheUpdate summarizes the cache events of an engine: the blocks that it has stored and evicted.
type CacheUpdate struct {
	Engine      string
	Incarnation string
	// Stored lists the blocks that were stored and not evicted, the latest first.
	Stored  []lrprefix.ID
	Evicted []lrprefix.ID
}

// ApplyCacheUpdate updates the holders of blocks from the cache events of an engine. Events of an ended incarnation are ignored.
func (n *NestedPlacer) ApplyCacheUpdate(now time.Time, holding CacheUpdate) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.setTickOrigin(now)
	index, ok := n.byName[holding.Engine]
	if !ok || !n.engines[index].observeIncarnation(holding.Incarnation) {
		return
	}
	ticks := n.ticks(now)
	h := n.newHolder(now, index)
	for k, id := range holding.Stored {
		b, _ := n.blocks.findOrInsert(id, ticks)
		h.stored = n.engines[index].stored - uint32(k)
		if !b.isHeldBy(h) {
			b.addHolder(h)
		}
		b.served = true
	}
	for _, id := range holding.Evicted {
		n.evict(ticks, index, id)
	}
}

// evict drops the engine as a holder of the block, unless the engine has used the block within cacheUpdateLag.
func (n *NestedPlacer) evict(now uint32, index uint16, id lrprefix.ID) {
	b := n.blocks.find(id)
	if b == nil {
		return
	}
	for k := range b.holders {
		h := &b.holders[k]
		if h.engine != index || h.confirmed == 0 || h.confirmed+uint32(cacheUpdateLag/tick) > now {
			continue
		}
		*h = holder{}
	}
}

// isHeldBy reports whether the engine is already recorded as a holder of the block, in the same incarnation.
func (b *block) isHeldBy(h holder) bool {
	for _, o := range b.holders {
		if o.engine == h.engine && o.generation == h.generation && o.confirmed > 0 {
			return true
		}
	}
	return false
}
