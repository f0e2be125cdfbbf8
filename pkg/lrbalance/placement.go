package lrbalance

import (
	"slices"
	"time"
)

const (
	// maxInstancesComparingAll is the number of instances up to which each one compares all engines, because load
	// reports spread fast enough among them. With more instances, each one compares the first firstCompared engines by
	// hash and up to randomCompared random ones.
	maxInstancesComparingAll = 16
	firstCompared            = 3
	randomCompared           = 3
)

// placement is the context of the decision on one request. The cache estimates for its prompt are looked up once. The
// mutex of the Balancer must be held.
type placement struct {
	balancer *Balancer
	now      time.Time
	// model is the model of the engines' service.
	model serviceModel
	// memory is the use of memory by the requests of the service, ownTokens what the request holds beside its shared blocks.
	memory    memoryModel
	ownTokens int
	request   Request
	// home is the key of the shared blocks. It is empty where there are none.
	home string
	// store is the KV store for the shared blocks.
	store Store
	// shared is the number of tokens in the shared blocks.
	shared int
	// sources maps each version of the weights to the best engine to fetch from. Engines that failed the request are
	// left out.
	sources map[int64]source
	// stored maps each version of the weights to the number of shared tokens that the KV store is assumed to hold.
	stored map[int64]int
	// isCached means that some engine is assumed to hold all shared blocks or to be computing them.
	isCached bool
}

// source is an engine and the number of tokens that can be fetched from it.
type source struct {
	engine string
	tokens int
	// isNear is set when the engine is in the own availability zone.
	isNear bool
}

// newPlacement returns the placement of the request, and the engines as its candidates.
func (b *Balancer) newPlacement(now time.Time, request Request, engines []Engine) (placement, []candidate) {
	home := homeKey(request)
	p := placement{
		balancer: b, now: now, model: b.model(now, request.Service), memory: b.memoryModel(request.Service),
		ownTokens: request.ownTokens(), request: request, home: home, store: storeOf(home, request.Stores), shared: sharedTokens(request),
		sources: map[int64]source{}, stored: map[int64]int{},
	}
	// The candidates of the last placement are overwritten: they are large, and used only while the mutex is held.
	b.scratch = slices.Grow(b.scratch[:0], len(engines))[:len(engines)]
	candidates := b.scratch
	var state versionState
	states := map[int64]versionState{}
	for n := range engines {
		e, c := &engines[n], &candidates[n]
		if n == 0 || e.Version != engines[n-1].Version {
			state = p.versionState(states, e.Version)
		}
		*c = candidate{engine: *e, blocks: state.blocks}
		c.isPreferred = e.Preference > 0 && b.random.Float64() < e.Preference
		c.cached, c.ready = b.estimates.held(now, e.ID, c.blocks, state.sourceTTL)
		p.isCached = p.isCached || c.cached == p.shared
		isNear := e.Zone == b.options.Zone
		if c.ready > 0 && !request.Excluded[e.ID] && p.sources[e.Version].isBetter(c.ready, isNear) {
			p.sources[e.Version] = source{engine: e.ID, tokens: c.ready, isNear: isNear}
		}
	}
	return p, candidates
}

// versionState is what is the same for all engines of one version of the weights.
type versionState struct {
	blocks    []prefixBlock
	sourceTTL time.Duration
}

// versionState returns the state of the version, from those that are known already or a new one.
func (p placement) versionState(known map[int64]versionState, version int64) versionState {
	state, ok := known[version]
	if ok {
		return state
	}
	state.blocks = prefixBlocks(p.request, version)
	p.stored[version] = p.storedTokens(p.now, state.blocks)
	state.sourceTTL = p.sourceTTL(version)
	known[version] = state
	return state
}

// storedTokens returns the number of tokens in the leading blocks that the KV store is assumed to hold.
func (p placement) storedTokens(now time.Time, blocks []prefixBlock) int {
	if !p.store.exists() {
		return 0
	}
	return p.balancer.estimates.fetchable(now, p.store.name(), blocks, p.store.ttl())
}

// sourceTTL returns how long after its last use a block is fetched from an engine. The time is shorter where a store of
// long residency has the block too, because the engine may have evicted it.
func (p placement) sourceTTL(version int64) time.Duration {
	if p.shared > 0 && p.stored[version] == p.shared && p.store.hasLongResidency() {
		return recentUse
	}
	return estimateTTL
}

func sharedTokens(request Request) int {
	tokens := 0
	for _, block := range sharedBlocks(request) {
		tokens += block.Tokens
	}
	return tokens
}

// cheapest returns the choice of the lowest cost among the engines that compared marks, or among all when compared is
// nil.
func (p placement) cheapest(order []candidate, compared []bool) (Choice, bool) {
	var best zoneChoice
	for rank := range order {
		if compared != nil && !compared[rank] {
			continue
		}
		e := &order[rank].engine
		c := p.estimate(order[rank], rank)
		if e.OutdatedFor > 0 && e.OutdatedFor+c.Wait > p.balancer.options.OutdatedLimit {
			continue
		}
		best.add(p.request, c, p.balancer.cost(p.request, c), e.Zone == p.balancer.options.Zone)
	}
	return best.cheapest()
}

// comparesAll reports whether all of the candidates are compared.
func (p placement) comparesAll(candidates int) bool {
	return p.request.Instances <= maxInstancesComparingAll || candidates <= firstCompared+randomCompared
}

// compared marks the ranked engines to be compared, or returns nil to compare all. A few instances compare all engines.
// Many instances would all choose the same idle engine and overload it before they receive one another's load reports,
// so they compare the first engines by hash, those that hold the prompt, and some random ones.
func (p placement) compared(order []candidate) []bool {
	if p.comparesAll(len(order)) {
		return nil
	}
	compared := make([]bool, len(order))
	for rank := range order {
		c := &order[rank]
		compared[rank] = c.isPreferred || len(c.blocks) > 0 && (rank < firstCompared || c.cached == p.shared)
	}
	for range randomCompared {
		compared[p.balancer.random.IntN(len(order))] = true
	}
	return compared
}

// fetch returns the source of the blocks that the candidate lacks, and the transfer time. It is an engine, the KV store
// or none, whichever lets the candidate start first.
func (p placement) fetch(candidate candidate) (from source, fromStore bool, took time.Duration) {
	b, engine := p.balancer, candidate.engine
	best := b.prefill(p.shared - candidate.cached)
	holder := p.sources[engine.Version]
	lacking := holder.tokens - candidate.cached
	if holder.engine != engine.ID && lacking > 0 {
		from, took = source{engine: holder.engine, tokens: lacking}, time.Duration(lacking)*fetchTimePerToken
		best = took + b.prefill(p.shared-holder.tokens)
	}
	stored := p.stored[engine.Version] - candidate.cached
	if stored > 0 && p.store.transfer(stored, engine.Zone)+b.prefill(p.shared-p.stored[engine.Version]) < best {
		return source{tokens: stored}, true, p.store.transfer(stored, engine.Zone)
	}
	return from, false, took
}

// secondSource returns an engine to fetch from in case the chosen one has evicted blocks that it is assumed to hold: the
// one with the most shared tokens to fetch, and among equals the first by hash, which other availability zones, or the
// instances before a restart, chose as well. Nothing is transferred while the chosen engine holds the blocks, and a
// wrong guess costs a millisecond.
func (p placement) secondSource(candidates []candidate, chosen Choice) string {
	if len(chosen.blocks) == 0 {
		return ""
	}
	best, bestTokens, bestScore := "", 0, uint64(0)
	for n := range candidates {
		c, e := &candidates[n], &candidates[n].engine
		if e.ID == chosen.Engine.ID || e.Version != chosen.Engine.Version || e.IsZoneUnreachable || e.IsDraining {
			continue
		}
		if best == "" || c.ready > bestTokens || c.ready == bestTokens && c.score > bestScore {
			best, bestTokens, bestScore = e.ID, c.ready, c.score
		}
	}
	return best
}

// estimate returns the choice of the candidate with its expected wait. The rank is its position by hash.
func (p placement) estimate(candidate candidate, rank int) Choice {
	b, engine := p.balancer, candidate.engine
	c := Choice{Engine: engine, Rank: rank, blocks: candidate.blocks, cached: candidate.cached, Store: p.store, isPreferred: candidate.isPreferred}
	from, fromStore, transfer := p.fetch(candidate)
	c.Source, c.FetchesFromStore, c.Fetched = from.engine, fromStore, from.tokens
	c.Missing = p.request.Tokens - candidate.cached - c.Fetched
	if rank == 0 && engine.OutdatedFor == 0 {
		// The home holds more than this instance knows, because other instances send there too. This isn't assumed of an
		// engine with outdated weights, which may have to refuse a request that takes longer than expected.
		c.Missing = min(c.Missing, p.request.Tokens-int(homeCachedShare*float64(p.shared)))
	}
	load := b.load(engine.ID)
	c.features = features{
		compute: b.prefill(load.Waiting) + b.prefill(c.Missing) + b.attention(c.Missing, p.request.Tokens),
		running: time.Duration(load.Running) * decodeDelayPerRequest, fixed: transfer,
	}
	if engine.Zone != b.options.Zone {
		c.features.crossing = crossZoneUnit
	}
	if engine.Slots > 0 && load.Running >= engine.Slots {
		c.isQueued = true
		c.features.fixed += time.Duration(load.Running-engine.Slots+1) * overSlotCost
	}
	if wait := p.memoryWait(candidate, load); wait > 0 {
		c.isQueued = true
		c.features.fixed += wait
	}
	slowness := b.slowness(p.now, engine.ID)
	c.Wait, c.usual = p.model.expected(c.features, slowness), p.model.expected(c.features, 1)
	c.placedWait = c.features.placed(slowness)
	c.compute = time.Duration(slowness * p.model.compute * float64(b.prefill(c.Missing)))
	return c
}
