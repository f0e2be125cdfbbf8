package lrroute

import (
	"slices"
)

// Names of the invariants of a placement.
const (
	// InvariantUsable states that a chosen engine can take the request.
	InvariantUsable = "placementOnUsableEngine"
	// InvariantIncarnation states that no cache estimate outlives the incarnation of its engine.
	InvariantIncarnation = "beliefOfPresentIncarnation"
	// InvariantChain states that only blocks of the request's own chain count as cached.
	InvariantChain = "beliefOfOwnChain"
	// InvariantLoad states that no load is counted for a request that has ended.
	InvariantLoad = "noLoadOfEndedRequests"
)

// checkInvariants reports the invariants that the chosen candidate violates.
func (n *NestedPlacer) checkInvariants(request Request, c *candidate) {
	state := &n.engines[c.engine]
	if !state.usable || state.modelCount == 0 || slices.Contains(request.Excluded, state.Name) {
		n.options.onViolation(InvariantUsable)
	}
	if c.estimated == 0 {
		return
	}
	b := n.scratch.chain[c.estimated-1]
	if b.id != request.Chain[c.estimated-1] {
		n.options.onViolation(InvariantChain)
		return
	}
	holds := func(h holder) bool { return h.engine == c.engine && n.isCurrent(h) }
	if !slices.ContainsFunc(b.holders[:], holds) {
		n.options.onViolation(InvariantIncarnation)
	}
}

// Idle reports whether no request is counted for any engine. If it is false while no request is running, InvariantLoad is violated.
func (n *NestedPlacer) Idle() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.inFlight) == 0
}
