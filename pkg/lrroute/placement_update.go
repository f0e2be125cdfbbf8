package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// outgoingUpdateLimit is the capacity of the buffer of unsent updates.
	outgoingUpdateLimit = 512
	// remotePlacementLimit is the size of the ring buffer of placements by other instances.
	remotePlacementLimit = 256
)

// A PlacementUpdate reports one placement to the other instances.
type PlacementUpdate struct {
	Engine      string
	Incarnation string
	Model       string
	Chain       []lrprefix.ID
	// Tokens is the length of the prompt, and Missing the number of its tokens that had to be computed.
	Tokens  int
	Missing int
	// Age is the time since the placement.
	Age time.Duration
}

// outgoingUpdate is an update that has not been sent yet.
type outgoingUpdate struct {
	update PlacementUpdate
	at     time.Time
}

// remotePlacement is the work of a request that another instance has sent to an engine.
type remotePlacement struct {
	engine uint16
	work   time.Duration
	at     time.Time
}

// recordUpdate buffers an update about a placement until it is taken for sending. When the buffer is full, the update is dropped.
func (n *NestedPlacer) recordUpdate(now time.Time, request Request, engine uint16, missing int) {
	if !n.options.recordUpdates || len(n.outgoing) == outgoingUpdateLimit {
		return
	}
	state := &n.engines[engine]
	n.outgoing = append(n.outgoing, outgoingUpdate{at: now, update: PlacementUpdate{
		Engine: state.Name, Incarnation: state.Incarnation, Model: request.Scope.Model,
		Chain: request.Chain, Tokens: request.Tokens, Missing: missing,
	}})
}

// TakePlacementUpdates returns the updates about at most limit of the latest placements and discards all others.
func (n *NestedPlacer) TakePlacementUpdates(now time.Time, limit int) []PlacementUpdate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	first := max(0, len(n.outgoing)-limit)
	updates := make([]PlacementUpdate, 0, len(n.outgoing)-first)
	for _, o := range n.outgoing[first:] {
		o.update.Age = now.Sub(o.at)
		updates = append(updates, o.update)
	}
	clear(n.outgoing)
	n.outgoing = n.outgoing[:0]
	return updates
}

// ApplyPlacementUpdates applies updates about the placements of other instances.
func (n *NestedPlacer) ApplyPlacementUpdates(now time.Time, updates []PlacementUpdate) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.setTickOrigin(now)
	for _, update := range updates {
		n.gossip.received++
		n.applyUpdate(now, update)
	}
	n.recomputeQueues()
}

// applyUpdate counts the request as load of its prefix, and its blocks and work for the engine unless the engine is unknown or its
// incarnation has ended.
func (n *NestedPlacer) applyUpdate(now time.Time, update PlacementUpdate) {
	m, ok := n.models[update.Model]
	if !ok || len(m.indexes) == 0 {
		return
	}
	n.observe(m, n.ticks(now), Request{Chain: update.Chain, Tokens: update.Tokens})
	index, ok := n.byName[update.Engine]
	if !ok || !n.engines[index].observeIncarnation(update.Incarnation) {
		return
	}
	at := now.Add(-update.Age)
	n.engines[index].stored += uint32(update.Missing / lrprefix.BlockTokens)
	h := n.newHolder(at, index)
	for _, b := range n.scratch.chain {
		b.addHolder(h)
	}
	n.remote[n.nextRemote] = remotePlacement{engine: index, work: time.Duration(update.Missing) * n.prefillPerToken, at: at}
	n.nextRemote = (n.nextRemote + 1) % remotePlacementLimit
}
