package lrbalance

import "time"

const (
	// fewInstances hear of one another fast enough that each may compare all engines. More compare the first by hash and as many by
	// chance.
	fewInstances   = 16
	firstCompared  = 3
	chanceCompared = 3
)

// placement is the decision on one request. What engines are believed to hold of its prompt is looked up once. The balancer's mutex
// must be held.
type placement struct {
	balancer *Balancer
	request  Request
	// shared are the tokens of the shared parts.
	shared int
	// sources are the best sources for each version of the weights. Engines that failed the request are left out.
	sources map[int64]source
	// isKnown tells that some engine is believed to hold all shared parts or to be computing them.
	isKnown bool
}

// source is the engine that holds the most of a prompt under one version of the weights.
type source struct {
	engine string
	tokens int
}

// look returns the placement of the request and the engines as its candidates.
func (b *Balancer) look(now time.Time, request Request, engines []Engine) (placement, []candidate) {
	p := placement{balancer: b, request: request, shared: sharedTokens(request), sources: map[int64]source{}}
	candidates := make([]candidate, len(engines))
	runs := map[int64][]prefix{}
	for n, e := range engines {
		if _, ok := runs[e.Version]; !ok {
			runs[e.Version] = prefixes(request, e.Version)
		}
		c := candidate{engine: e, runs: runs[e.Version]}
		c.cached = b.beliefs.cached(now, e.ID, c.runs)
		c.ready = b.beliefs.fetchable(now, e.ID, c.runs)
		candidates[n] = c
		p.isKnown = p.isKnown || c.cached == p.shared
		if !request.Excluded[e.ID] && c.ready > p.sources[e.Version].tokens {
			p.sources[e.Version] = source{engine: e.ID, tokens: c.ready}
		}
	}
	return p, candidates
}

func sharedTokens(request Request) int {
	tokens := 0
	for _, part := range sharedParts(request) {
		tokens += part.Tokens
	}
	return tokens
}

// cheapest returns the engine of the least cost among those that are compared, or among all without a choice of them.
func (p placement) cheapest(order []candidate, compared []bool) (Choice, bool) {
	best, bestCost, found := Choice{}, time.Duration(0), false
	for rank, candidate := range order {
		if compared != nil && !compared[rank] {
			continue
		}
		e := candidate.engine
		c := p.estimate(candidate, rank)
		if e.OutdatedFor > 0 && e.OutdatedFor+c.Wait > oldVersionEnd {
			continue
		}
		cost := p.balancer.cost(p.request, c)
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// compared returns which of the ranked engines are compared, or nil for all. Few instances compare all. Many would all find the same
// idle engine before they hear of one another and swamp it: they compare the first by hash, those that hold the prompt, and some by
// chance.
func (p placement) compared(order []candidate) []bool {
	if p.request.Instances <= fewInstances || len(order) <= firstCompared+chanceCompared {
		return nil
	}
	compared := make([]bool, len(order))
	for rank, c := range order {
		compared[rank] = len(c.runs) > 0 && (rank < firstCompared || c.cached == p.shared)
	}
	for range chanceCompared {
		compared[p.balancer.random.IntN(len(order))] = true
	}
	return compared
}

// secondSource names an engine to ask for what the chosen one may have evicted: another one that is known to hold the
// shared parts, or else the one that the other availability zones, or the instances before a restart, chose by the same
// hash. Nothing moves while the chosen engine holds the parts, and a wrong guess costs a millisecond.
func (p placement) secondSource(candidates []candidate, chosen Choice) string {
	if len(chosen.runs) == 0 {
		return ""
	}
	best, bestTokens, bestScore := "", 0, uint64(0)
	for _, c := range candidates {
		e := c.engine
		if e.ID == chosen.Engine.ID || e.Version != chosen.Engine.Version || e.IsDoubtful || e.IsClosing {
			continue
		}
		if best == "" || c.ready > bestTokens || c.ready == bestTokens && c.score > bestScore {
			best, bestTokens, bestScore = e.ID, c.ready, c.score
		}
	}
	return best
}

// estimate returns what the request would find at the candidate of the rank.
func (p placement) estimate(candidate candidate, rank int) Choice {
	b, engine := p.balancer, candidate.engine
	from := p.sources[engine.Version]
	c := Choice{Engine: engine, Rank: rank, runs: candidate.runs, Missing: p.request.Tokens - candidate.cached}
	if from.engine != engine.ID && from.tokens > candidate.cached {
		c.Source, c.Fetched = from.engine, from.tokens-candidate.cached
		c.Missing -= c.Fetched
	}
	if rank == 0 && engine.OutdatedFor == 0 {
		// The home holds more than this instance knows, since other instances send there too. An engine of old weights may
		// have to turn down what takes longer than expected.
		c.Missing = min(c.Missing, p.request.Tokens-int(homeShare*float64(p.shared)))
	}
	load := b.load(engine.ID)
	c.Wait = b.prefill(load.Waiting) + b.prefill(c.Missing) + b.attention(c.Missing, p.request.Tokens) + time.Duration(c.Fetched)*fetchPerToken +
		time.Duration(load.Running)*decodeSlowdown
	if engine.Slots > 0 && load.Running >= engine.Slots {
		c.Wait += time.Duration(load.Running-engine.Slots+1) * slotCost
	}
	return c
}
