package lrroute

import (
	"slices"
)

// The invariants of a placement.
const (
	// InvariantUsable says that a chosen engine can take the request.
	InvariantUsable = "placementOnUsableEngine"
	// InvariantIncarnation says that no belief outlives the incarnation of its engine.
	InvariantIncarnation = "beliefOfPresentIncarnation"
	// InvariantChain says that only pieces of the request's own chain count.
	InvariantChain = "beliefOfOwnChain"
	// InvariantLoad says that no load is counted for a request that has ended.
	InvariantLoad = "noLoadOfEndedRequests"
)

// check reports the invariants that the choice violates.
func (n *Nested) check(request Request, c *candidate) {
	state := &n.engines[c.engine]
	if !state.usable || state.models == 0 || slices.Contains(request.Excluded, state.Name) {
		n.options.violated(InvariantUsable)
	}
	if c.held == 0 {
		return
	}
	p := n.scratch.chain[c.held-1]
	if p.id != request.Chain[c.held-1] {
		n.options.violated(InvariantChain)
		return
	}
	holds := func(h holder) bool { return h.engine == c.engine && n.remembers(h) }
	if !slices.ContainsFunc(p.holders[:], holds) {
		n.options.violated(InvariantIncarnation)
	}
}

// Idle reports whether no request is counted for any engine. It is a violation when none is running.
func (n *Nested) Idle() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.flights) == 0
}
