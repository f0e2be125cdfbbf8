package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// tieTolerance is the fraction of a cost within which candidates count as equal.
	tieTolerance = 0.02
	// otherZonePenalty is added to the cost of an engine in another availability zone.
	otherZonePenalty = 2 * time.Millisecond
)

// usedWithin reports whether a request with the block arrived within the given time before now.
func (b *block) usedWithin(now uint32, within time.Duration) bool {
	return time.Duration(max(now, b.usedAt)-b.usedAt)*tick < within
}

// Place chooses an engine for the request. It reports false when no engine can take it.
func (n *NestedPlacer) Place(now time.Time, request Request) (Placement, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.setTickOrigin(now)
	m, ok := n.models[request.Scope.Model]
	if !ok || len(m.indexes) == 0 {
		return Placement{}, false
	}
	ticks := n.ticks(now)
	n.observe(m, ticks, request)
	n.gatherCandidates(now, m, request)
	best := n.cheapest(now, request)
	if best == nil {
		return Placement{}, false
	}
	n.checkInvariants(request, best)
	n.recordPlacement(now, request, best)
	return Placement{
		Engine: n.engines[best.engine].Name, Reason: best.reason, Candidates: len(n.scratch.candidates),
		ExpectedCachedTokens: best.estimated * lrprefix.BlockTokens, ExpectedWait: n.expectedWait(now, request, best),
		ImportFrom: n.importFrom(now), KnownTokens: n.scratch.known * lrprefix.BlockTokens,
	}, true
}

// cheapest returns the candidate with the lowest estimated cost. Candidates within tieTolerance are chosen among at random.
func (n *NestedPlacer) cheapest(now time.Time, request Request) *candidate {
	var best *candidate
	for k := range n.scratch.candidates {
		c := &n.scratch.candidates[k]
		cost := float64(n.cost(now, request, c))
		c.cost = time.Duration(cost * (1 + tieTolerance*n.random.Float64()))
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// cost estimates the time to the first token plus the weighted prefill work that the placement causes. Blocks that the engine should have
// cached according to hashing count at the hit rate observed for such blocks.
func (n *NestedPlacer) cost(now time.Time, request Request, c *candidate) time.Duration {
	blocks := float64(c.estimated)
	if c.assumed > c.estimated {
		blocks += n.assumedHitRate * float64(c.assumed-c.estimated)
	}
	missing := float64(request.Tokens) - blocks*lrprefix.BlockTokens
	if c.home {
		unknown := len(request.Chain) - max(c.estimated, c.assumed)
		missing -= n.homeHitRate() * float64(unknown) * lrprefix.BlockTokens
	}
	cost := n.engines[c.engine].queueWait(now) - max(0, n.importSaving(now, c)) + time.Duration(max(0, missing)*(1+n.options.workWeight)*float64(n.prefillPerToken))
	if n.options.zone != "" && n.engines[c.engine].Zone != n.options.zone {
		cost += otherZonePenalty
	}
	return cost
}

// expectedWait estimates the time to the first token, counting only the blocks that the engine is estimated to have cached.
func (n *NestedPlacer) expectedWait(now time.Time, request Request, c *candidate) time.Duration {
	return n.engines[c.engine].queueWait(now) + time.Duration(n.missingTokens(request, c))*n.prefillPerToken
}

// missingTokens returns the number of prompt tokens that the engine is estimated to have to compute.
func (n *NestedPlacer) missingTokens(request Request, c *candidate) int {
	return max(0, request.Tokens-c.estimated*lrprefix.BlockTokens)
}

// recordPlacement adds the request to the load of the engine. Its blocks count as cached at once, so that the next request with the same
// prefix is sent to the same engine instead of computing them again elsewhere.
func (n *NestedPlacer) recordPlacement(now time.Time, request Request, c *candidate) {
	tokens := n.missingTokens(request, c)
	queuedTokens := int(n.engines[c.engine].queueWait(now) / n.prefillPerToken)
	saved := max(0, n.importSaving(now, c))
	n.engines[c.engine].enqueue(now, time.Duration(tokens)*n.prefillPerToken-saved)
	toImport := 0
	if saved > 0 {
		toImport = n.importableBlocks(c)
	}
	unknown := 0
	if c.home {
		unknown = len(request.Chain) - max(c.estimated, c.assumed)
	}
	n.inFlight[inFlightKey{request.ID, n.engines[c.engine].Name}] = inFlightRequest{
		engine: c.engine, tokens: tokens, queuedTokens: queuedTokens, sentAt: now, recorded: c.recorded, storedSince: c.storedSince,
		estimated: c.estimated, assumed: c.assumed, toImport: toImport, unknown: unknown,
	}
	n.engines[c.engine].stored += uint32(tokens / lrprefix.BlockTokens)
	h := n.newHolder(now, c.engine)
	for _, b := range n.scratch.chain {
		b.addHolder(h)
	}
	n.gossip.countPlacement()
	n.recordUpdate(now, request, c.engine, tokens)
}
