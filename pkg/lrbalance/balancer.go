package lrbalance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

// Options describe the backend servers.
type Options struct {
	// PrefillPerMilli is the number of prompt tokens that an engine computes in a millisecond.
	PrefillPerMilli float64
	// Zone is the availability zone of the instance.
	Zone string
	// Seed is the seed of the generator that breaks ties.
	Seed uint64
}

const (
	// fewInstances hear of one another fast enough that each may compare all engines. More compare the first by hash and as many by
	// chance.
	fewInstances   = 16
	firstCompared  = 3
	chanceCompared = 3
	// decodeSlowdown is the time that each running request adds to the first token of another one.
	decodeSlowdown = 500 * time.Microsecond
	// workWeight counts computed tokens beside the time that the caller waits, since they keep others waiting too.
	workWeight = 1.5
	// homeShare is the part of the shared prompt that the home counts as holding, since other instances send there too.
	homeShare = 0.7
	// fetchPerToken is the time that an engine takes to fetch one token of a prompt from another engine.
	fetchPerToken = 3 * time.Microsecond
	// farZone is the cost of the bytes that cross the border of an availability zone.
	farZone = 12 * time.Millisecond
	// oldVersionGrace is how long an answer of older weights is as good as one of the newest.
	oldVersionGrace = 1400 * time.Millisecond
	// oldVersionCost is the cost of an answer of older weights after that.
	oldVersionCost = 400 * time.Millisecond
	// oldVersionEnd is the time from which on a request must not begin on older weights, its wait at the engine included.
	oldVersionEnd = 5 * time.Second
	// targetShare is the part of the wanted time above which each further wait costs lateWeight times as much.
	targetShare = 0.7
	lateWeight  = 3.0
	// doubtCost keeps requests in reach of the instance while its availability zone seems to be cut off.
	doubtCost = 300 * time.Millisecond
	// attentionPerMillionPairs is the time that an engine takes for the attention between a million pairs of tokens.
	attentionPerMillionPairs = 275 * time.Microsecond
	// slotCost is the cost of each request above the slots of a backend server.
	slotCost = 50 * time.Millisecond
)

// A Balancer chooses backend servers. It is safe for use by several goroutines.
type Balancer struct {
	options Options
	mutex   sync.Mutex
	random  *rand.Rand
	own     map[string]Load
	others  map[string]Load
	beliefs *beliefs
}

// New returns a Balancer that has sent nothing yet.
func New(options Options) *Balancer {
	return &Balancer{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		own: map[string]Load{}, others: map[string]Load{}, beliefs: newBeliefs(),
	}
}

// Choose returns the best of the engines for the request, and counts the request there until End is called. It reports
// false when none can take it.
func (b *Balancer) Choose(now time.Time, request Request, engines []Engine) (Choice, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	usable := usableEngines(request, engines)
	if len(usable) == 0 {
		return Choice{}, false
	}
	runs := map[int64][]prefix{}
	for _, e := range engines {
		if _, ok := runs[e.Version]; !ok {
			runs[e.Version] = prefixes(request, e.Version)
		}
	}
	sources := b.sources(now, request, engines, runs)
	order := b.ranked(request, usable, b.isKnown(now, engines, runs))
	best, ok := b.cheapest(now, request, order, b.compared(now, request, order, runs), runs, sources)
	if !ok {
		best, ok = b.cheapest(now, request, order, nil, runs, sources)
	}
	if !ok {
		return Choice{}, false
	}
	best.Candidates = len(usable)
	if best.Source == "" {
		best.Source = b.secondSource(now, order, best)
	}
	best.work = best.Missing + int(b.attention(best.Missing, request.Tokens).Seconds()*1000*b.options.PrefillPerMilli)
	b.count(best.Engine.ID, Load{Waiting: best.work, Running: 1})
	b.beliefs.begin(now, best.Engine.ID, best.runs)
	return best, true
}

// cheapest returns the engine of the least cost among those that are compared, or among all without a choice of them.
func (b *Balancer) cheapest(now time.Time, request Request, order []candidate, compared []bool, runs map[int64][]prefix, sources map[int64]source) (Choice, bool) {
	best, bestCost, found := Choice{}, time.Duration(0), false
	for rank, candidate := range order {
		if compared != nil && !compared[rank] {
			continue
		}
		e := candidate.engine
		c := b.estimate(now, request, e, rank, runs[e.Version], sources[e.Version])
		if e.OutdatedFor > 0 && e.OutdatedFor+c.Wait > oldVersionEnd {
			continue
		}
		cost := b.cost(request, c)
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// compared returns which of the ranked engines are compared, or nil for all. Few instances compare all. Many would all find the same
// idle engine before they hear of one another and swamp it: they compare the first by hash, those that hold the prompt, and some by
// chance.
func (b *Balancer) compared(now time.Time, request Request, order []candidate, runs map[int64][]prefix) []bool {
	if request.Instances <= fewInstances || len(order) <= firstCompared+chanceCompared {
		return nil
	}
	compared := make([]bool, len(order))
	for rank, c := range order {
		shared := runs[c.engine.Version]
		if len(shared) == 0 {
			continue
		}
		isHolder := b.beliefs.cached(now, c.engine.ID, shared) == sharedTokens(shared)
		compared[rank] = isHolder || rank < firstCompared
	}
	for range chanceCompared {
		compared[b.random.IntN(len(order))] = true
	}
	return compared
}

// secondSource names an engine to ask for what the chosen one may have evicted: another one that is known to hold the
// shared parts, or else the one that the other availability zones, or the instances before a restart, chose by the same
// hash. Nothing moves while the chosen engine holds the parts, and a wrong guess costs a millisecond.
func (b *Balancer) secondSource(now time.Time, candidates []candidate, chosen Choice) string {
	if len(chosen.runs) == 0 {
		return ""
	}
	best, bestTokens, bestScore := "", 0, uint64(0)
	for _, c := range candidates {
		e := c.engine
		if e.ID == chosen.Engine.ID || e.Version != chosen.Engine.Version || e.IsDoubtful || e.IsClosing {
			continue
		}
		tokens := b.beliefs.fetchable(now, e.ID, chosen.runs)
		if best == "" || tokens > bestTokens || tokens == bestTokens && c.score > bestScore {
			best, bestTokens, bestScore = e.ID, tokens, c.score
		}
	}
	return best
}

// source is the engine that holds the most of a prompt under one version of the weights.
type source struct {
	engine string
	tokens int
}

// sources returns the best source for each version. Engines that failed the request are left out.
func (b *Balancer) sources(now time.Time, request Request, engines []Engine, runs map[int64][]prefix) map[int64]source {
	sources := map[int64]source{}
	for _, e := range engines {
		if request.Excluded[e.ID] {
			continue
		}
		tokens := b.beliefs.fetchable(now, e.ID, runs[e.Version])
		if tokens > sources[e.Version].tokens {
			sources[e.Version] = source{engine: e.ID, tokens: tokens}
		}
	}
	return sources
}

// usableEngines leaves out engines that failed the request, that are about to stop and that are too old.
func usableEngines(request Request, engines []Engine) []Engine {
	usable := make([]Engine, 0, len(engines))
	var closing []Engine
	for _, e := range engines {
		switch {
		case request.Excluded[e.ID]:
		case e.OutdatedFor >= oldVersionEnd:
		case e.IsClosing:
			closing = append(closing, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return closing
	}
	return usable
}

// candidate is an engine with the hash of the prompt's shared parts on it.
type candidate struct {
	engine Engine
	isFar  int
	score  uint64
}

// ranked orders the engines by the hash of the prompt's shared parts. Where an engine is known to hold them those of the own
// availability zone go first: all instances of a zone begin with the same one, which fetches the parts once. Parts that nobody is
// known to hold have one home over all zones, so that instances that have not heard of one another yet do not compute them in
// each zone. Engines of requests without shared parts keep their order.
func (b *Balancer) ranked(request Request, engines []Engine, isKnown bool) []candidate {
	home := homeKey(request)
	order := make([]candidate, len(engines))
	for n, e := range engines {
		order[n] = candidate{engine: e}
	}
	if home == "" {
		return order
	}
	for n, e := range engines {
		order[n].score = lrhash.Pair(home, e.ID)
		if isKnown && e.Zone != b.options.Zone {
			order[n].isFar = 1
		}
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.isFar, b.isFar), cmp.Compare(b.score, a.score))
	})
	return order
}

// isKnown reports whether any engine is believed to hold all shared parts or to be computing them.
func (b *Balancer) isKnown(now time.Time, engines []Engine, runs map[int64][]prefix) bool {
	for _, e := range engines {
		if b.beliefs.cached(now, e.ID, runs[e.Version]) == sharedTokens(runs[e.Version]) {
			return true
		}
	}
	return false
}

// homeKey names the shared parts of the prompt. Weights versions are left out, so that the home stays the same.
func homeKey(request Request) string {
	if len(request.Parts) < 2 {
		return ""
	}
	var key strings.Builder
	for _, p := range request.Parts[:len(request.Parts)-1] {
		key.WriteString(p.ID)
		key.WriteByte('/')
	}
	return key.String()
}

func (b *Balancer) estimate(now time.Time, request Request, engine Engine, rank int, runs []prefix, from source) Choice {
	c := Choice{Engine: engine, Rank: rank, runs: runs}
	cached := b.beliefs.cached(now, engine.ID, runs)
	c.Missing = request.Tokens - cached
	if from.engine != engine.ID && from.tokens > cached {
		c.Source, c.Fetched = from.engine, from.tokens-cached
		c.Missing -= c.Fetched
	}
	if rank == 0 && engine.OutdatedFor == 0 {
		// The home holds more than this instance knows, since other instances send there too. An engine of old weights may
		// have to turn down what takes longer than expected.
		c.Missing = min(c.Missing, request.Tokens-int(homeShare*float64(sharedTokens(runs))))
	}
	load := b.load(engine.ID)
	c.Wait = b.prefill(load.Waiting) + b.prefill(c.Missing) + b.attention(c.Missing, request.Tokens) + time.Duration(c.Fetched)*fetchPerToken +
		time.Duration(load.Running)*decodeSlowdown
	if engine.Slots > 0 && load.Running >= engine.Slots {
		c.Wait += time.Duration(load.Running-engine.Slots+1) * slotCost
	}
	return c
}

func sharedTokens(runs []prefix) int {
	tokens := 0
	for _, r := range runs {
		tokens += r.tokens
	}
	return tokens
}

func (b *Balancer) cost(request Request, choice Choice) time.Duration {
	cost := choice.Wait + time.Duration(workWeight*float64(b.prefill(choice.Missing)))
	if choice.Engine.Zone != b.options.Zone {
		cost += farZone
	}
	if choice.Engine.OutdatedFor > oldVersionGrace {
		cost += oldVersionCost
	}
	late := choice.Wait - time.Duration(targetShare*float64(request.Target))
	if request.Target > 0 && late > 0 {
		cost += time.Duration(lateWeight * float64(late))
	}
	if choice.Engine.IsDoubtful {
		cost += doubtCost
	}
	if len(request.Parts) == 0 {
		cost += time.Duration(b.random.Int64N(int64(time.Millisecond)))
	}
	return cost
}

func (b *Balancer) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.options.PrefillPerMilli * float64(time.Millisecond))
}

// attention returns the time by which the missing tokens take longer to compute in a long prompt: each one looks at all
// before it.
func (b *Balancer) attention(missing, total int) time.Duration {
	pairs := float64(missing) * (float64(total) - float64(missing)/2)
	return time.Duration(pairs / 1e6 * float64(attentionPerMillionPairs))
}

func (b *Balancer) load(engine string) Load {
	return b.own[engine].Plus(b.others[engine])
}

// Load returns the work that all instances are known to have at the engine.
func (b *Balancer) Load(engine string) Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.load(engine)
}

// FirstEvent tells that the first event of a request has come, so that its prompt is computed.
func (b *Balancer) FirstEvent(now time.Time, choice Choice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.beliefs.ready(now, choice.Engine.ID, choice.runs)
	b.count(choice.Engine.ID, Load{Waiting: -choice.work})
}

// End tells that a request has ended. Its prompt was computed if its first event has come.
func (b *Balancer) End(choice Choice, computed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	load := Load{Running: -1}
	if !computed {
		load.Waiting = -choice.work
		b.beliefs.abandon(choice.Engine.ID, choice.runs)
	}
	b.count(choice.Engine.ID, load)
}

func (b *Balancer) count(engine string, load Load) {
	sum := b.own[engine].Plus(load)
	if sum == (Load{}) {
		delete(b.own, engine)
		return
	}
	b.own[engine] = sum
}

// Own returns the work of this instance at each engine.
func (b *Balancer) Own() map[string]Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	own := make(map[string]Load, len(b.own))
	for name, l := range b.own {
		own[name] = l
	}
	return own
}

// SetOthers replaces what is known of the work of all other instances.
func (b *Balancer) SetOthers(loads map[string]Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.others = loads
}

// Cursors tell up to where a reader has heard the news.
type Cursors struct {
	Near uint64
	Far  uint64
}

// News returns what engines have come to hold since the cursors. Without far it leaves out what was heard from other
// availability zones.
func (b *Balancer) News(now time.Time, cursors Cursors, far bool) ([]Holding, Cursors) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	told, near := b.beliefs.near.since(now, cursors.Near)
	cursors.Near = near
	if far {
		more, next := b.beliefs.far.since(now, cursors.Far)
		told, cursors.Far = append(told, more...), next
	}
	return told, cursors
}

// Heard takes in what engines hold, as told by an instance of the own availability zone or of another one.
func (b *Balancer) Heard(now time.Time, holdings []Holding, far bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	log := b.beliefs.near
	if far {
		log = b.beliefs.far
	}
	for _, h := range holdings {
		b.beliefs.heard(now, h, log)
	}
}

// Forget drops what is believed of an engine's cache, since it restarted or changed its weights.
func (b *Balancer) Forget(engine string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.beliefs.forget(engine)
}
