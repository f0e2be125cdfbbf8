package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// holdingLag is the time by which a report of evictions may be late. A piece that was used since is kept.
const holdingLag = time.Second

// A Holding tells which pieces an engine has stored and evicted, in summary.
type Holding struct {
	Engine      string
	Incarnation string
	// Stored are the pieces that were stored and not evicted, the latest first.
	Stored  []lrprefix.ID
	Evicted []lrprefix.ID
}

// ApplyHolding takes in what an engine's cache events told.
func (n *Nested) ApplyHolding(now time.Time, holding Holding) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.start(now)
	index, ok := n.byName[holding.Engine]
	if !ok || !n.engines[index].meet(holding.Incarnation) {
		return
	}
	ticks := n.ticks(now)
	h := n.holder(now, index)
	for k, id := range holding.Stored {
		p, _ := n.pieces.take(id, ticks)
		h.stored = n.engines[index].stored - uint32(k)
		if !p.heldBy(h) {
			p.hold(h)
		}
		p.answered = true
	}
	for _, id := range holding.Evicted {
		n.evict(ticks, index, id)
	}
}

// evict forgets that the engine holds the piece, and learns from it how much the engine stores before it evicts.
func (n *Nested) evict(now uint32, index uint16, id lrprefix.ID) {
	p := n.pieces.find(id)
	if p == nil {
		return
	}
	for k := range p.holders {
		h := &p.holders[k]
		if h.engine != index || h.confirmed == 0 || h.confirmed+uint32(holdingLag/tick) > now {
			continue
		}
		*h = holder{}
	}
}

// heldBy reports whether the engine is believed to hold the piece already.
func (p *piece) heldBy(h holder) bool {
	for _, o := range p.holders {
		if o.engine == h.engine && o.generation == h.generation && o.confirmed > 0 {
			return true
		}
	}
	return false
}
