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
	// home names the shared parts. It is empty where there are none.
	home string
	// store is the kept store for the shared parts.
	store Store
	// shared are the tokens of the shared parts.
	shared int
	// sources are the best sources for each version of the weights. Engines that failed the request are left out.
	sources map[int64]source
	// kept are the tokens of the shared parts that the kept store is believed to hold under each version of the weights.
	kept map[int64]int
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
	home := homeKey(request)
	p := placement{
		balancer: b, request: request, home: home, store: storeOf(home, request.Stores), shared: sharedTokens(request),
		sources: map[int64]source{}, kept: map[int64]int{},
	}
	candidates := make([]candidate, len(engines))
	runs := map[int64][]prefix{}
	for n, e := range engines {
		if _, ok := runs[e.Version]; !ok {
			runs[e.Version] = prefixes(request, e.Version)
			p.kept[e.Version] = p.keptTokens(now, runs[e.Version])
		}
		c := candidate{engine: e, runs: runs[e.Version]}
		c.cached = b.beliefs.cached(now, e.ID, c.runs)
		c.ready = b.beliefs.fetchable(now, e.ID, c.runs, p.sourceLife(e.Version))
		candidates[n] = c
		p.isKnown = p.isKnown || c.cached == p.shared
		if !request.Excluded[e.ID] && c.ready > p.sources[e.Version].tokens {
			p.sources[e.Version] = source{engine: e.ID, tokens: c.ready}
		}
	}
	return p, candidates
}

// keptTokens returns the tokens of the runs that the kept store is believed to hold.
func (p placement) keptTokens(now time.Time, runs []prefix) int {
	if !p.store.exists() {
		return 0
	}
	return p.balancer.beliefs.fetchable(now, p.store.name(), runs, p.store.life())
}

// sourceLife returns how long after its last use a part is looked for at an engine: shorter where a lasting kept store has it too,
// since the engine may have evicted it.
func (p placement) sourceLife(version int64) time.Duration {
	if p.shared > 0 && p.kept[version] == p.shared && p.store.isLasting() {
		return freshLife
	}
	return beliefLife
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

// fetch returns from where the candidate would fetch what it lacks: the engine or the kept store with which it begins first.
func (p placement) fetch(candidate candidate) (from source, fromStore bool, took time.Duration) {
	b, engine := p.balancer, candidate.engine
	best := b.prefill(p.shared - candidate.cached)
	holder := p.sources[engine.Version]
	lacking := holder.tokens - candidate.cached
	if holder.engine != engine.ID && lacking > 0 {
		from, took = source{engine: holder.engine, tokens: lacking}, time.Duration(lacking)*fetchPerToken
		best = took + b.prefill(p.shared-holder.tokens)
	}
	kept := p.kept[engine.Version] - candidate.cached
	if kept > 0 && p.store.transfer(kept, engine.Zone)+b.prefill(p.shared-p.kept[engine.Version]) < best {
		return source{tokens: kept}, true, p.store.transfer(kept, engine.Zone)
	}
	return from, false, took
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
	c := Choice{Engine: engine, Rank: rank, runs: candidate.runs, cached: candidate.cached, Store: p.store}
	from, fromStore, transfer := p.fetch(candidate)
	c.Source, c.FromStore, c.Fetched = from.engine, fromStore, from.tokens
	c.Missing = p.request.Tokens - candidate.cached - c.Fetched
	if rank == 0 && engine.OutdatedFor == 0 {
		// The home holds more than this instance knows, since other instances send there too. An engine of old weights may
		// have to turn down what takes longer than expected.
		c.Missing = min(c.Missing, p.request.Tokens-int(homeShare*float64(p.shared)))
	}
	load := b.load(engine.ID)
	c.Wait = b.prefill(load.Waiting) + b.prefill(c.Missing) + b.attention(c.Missing, p.request.Tokens) + transfer +
		time.Duration(load.Running)*decodeSlowdown
	if engine.Slots > 0 && load.Running >= engine.Slots {
		c.Wait += time.Duration(load.Running-engine.Slots+1) * slotCost
	}
	return c
}
