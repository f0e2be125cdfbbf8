package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// tieShare is the part of a cost within which candidates are taken as equal.
	tieShare    = 0.02
	zonePenalty = 2 * time.Millisecond
)

// recent reports whether a request with the piece was seen within the time.
func (p *piece) recent(now uint32, within time.Duration) bool {
	return time.Duration(max(now, p.usedAt)-p.usedAt)*tick < within
}

// Place chooses an engine for the request. It reports false when no engine can take it.
func (n *Nested) Place(now time.Time, request Request) (Placement, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.start(now)
	m, ok := n.models[request.Scope.Model]
	if !ok || len(m.indexes) == 0 {
		return Placement{}, false
	}
	ticks := n.ticks(now)
	n.observe(m, ticks, request)
	n.gather(now, m, request)
	best := n.cheapest(now, request)
	if best == nil {
		return Placement{}, false
	}
	n.check(request, best)
	n.send(now, request, best)
	return Placement{
		Engine: n.engines[best.engine].Name, Reason: best.reason, Candidates: len(n.scratch.candidates),
		ExpectedCachedTokens: best.held * lrprefix.PieceTokens, ExpectedWait: n.wait(now, request, best),
		ImportFrom: n.importFrom(now), KnownTokens: n.scratch.known * lrprefix.PieceTokens,
	}, true
}

// cheapest returns the candidate with the lowest estimated cost. Near ties are broken at random.
func (n *Nested) cheapest(now time.Time, request Request) *candidate {
	var best *candidate
	for k := range n.scratch.candidates {
		c := &n.scratch.candidates[k]
		cost := float64(n.cost(now, request, c))
		c.cost = time.Duration(cost * (1 + tieShare*n.random.Float64()))
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// cost estimates the time to the first token, with what hashing lets expect of the cache.
func (n *Nested) cost(now time.Time, request Request, c *candidate) time.Duration {
	pieces := float64(c.held)
	if c.assumed > c.held {
		pieces += n.trust * float64(c.assumed-c.held)
	}
	missing := float64(request.Tokens) - pieces*lrprefix.PieceTokens
	if c.home {
		unknown := len(request.Chain) - max(c.held, c.assumed)
		missing -= n.homeShare() * float64(unknown) * lrprefix.PieceTokens
	}
	cost := n.engines[c.engine].queueWait(now) - max(0, n.importSaving(now, c)) + time.Duration(max(0, missing)*(1+n.options.workWeight)*float64(n.perToken))
	if n.options.zone != "" && n.engines[c.engine].Zone != n.options.zone {
		cost += zonePenalty
	}
	return cost
}

// wait estimates the time to the first token with what the engine is believed to hold.
func (n *Nested) wait(now time.Time, request Request, c *candidate) time.Duration {
	return n.engines[c.engine].queueWait(now) + time.Duration(n.missing(request, c))*n.perToken
}

func (n *Nested) missing(request Request, c *candidate) int {
	return max(0, request.Tokens-c.held*lrprefix.PieceTokens)
}

// send counts the request for the engine. Its pieces count as held at once, so that the next request with the same
// prefix follows it instead of computing them anew elsewhere.
func (n *Nested) send(now time.Time, request Request, c *candidate) {
	tokens := n.missing(request, c)
	ahead := int(n.engines[c.engine].queueWait(now) / n.perToken)
	saved := max(0, n.importSaving(now, c))
	n.engines[c.engine].send(now, time.Duration(tokens)*n.perToken-saved)
	wanted := 0
	if saved > 0 {
		wanted = n.importable(c)
	}
	unknown := 0
	if c.home {
		unknown = len(request.Chain) - max(c.held, c.assumed)
	}
	n.flights[flightKey{request.ID, n.engines[c.engine].Name}] = flight{
		engine: c.engine, tokens: tokens, ahead: ahead, sentAt: now, remembered: c.remembered, age: c.age,
		held: c.held, assumed: c.assumed, wanted: wanted, unknown: unknown,
	}
	n.engines[c.engine].stored += uint32(tokens / lrprefix.PieceTokens)
	h := n.holder(now, c.engine)
	for _, p := range n.scratch.chain {
		p.hold(h)
	}
	n.hearing.placed()
	n.note(now, request, c.engine, tokens)
}
