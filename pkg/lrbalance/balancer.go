package lrbalance

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

// Options configure a Balancer.
type Options struct {
	// PrefillPerMilli is the number of prompt tokens that an engine computes in a millisecond, before the speed of its service is learned.
	PrefillPerMilli float64
	// Zone is the availability zone of this instance.
	Zone string
	// OutdatedLimit is how long after an update a request may still start on the outdated weights. The wait at the engine counts. Zero
	// means defaultOutdatedLimit.
	OutdatedLimit time.Duration
	// EstimateBytes is the memory for the estimates of what engines and KV stores hold. Zero means defaultEstimateBytes.
	EstimateBytes int
	// Seed seeds the random generator that breaks ties.
	Seed uint64
}

const (
	// decodeDelayPerRequest is the time that each running request adds to the first token of another request, before it is learned.
	decodeDelayPerRequest = 500 * time.Microsecond
	// computeWeight is the weight of the time to compute missing tokens, which is added to the caller's wait because the
	// computation delays other requests too.
	computeWeight = 1.5
	// homeCachedShare is the share of the shared blocks that the home engine is assumed to have cached, because other
	// instances send requests with the same blocks there.
	homeCachedShare = 0.7
	// fetchTimePerToken is the time that an engine takes to fetch the cache of one prompt token from another engine.
	fetchTimePerToken = 3 * time.Microsecond
	// outdatedGrace is how long an engine with outdated weights costs no more than one with the newest weights.
	outdatedGrace = 1400 * time.Millisecond
	// outdatedCost is the cost of an engine with outdated weights after outdatedGrace.
	outdatedCost = 400 * time.Millisecond
	// defaultOutdatedLimit is the limit that applies where Options set none.
	defaultOutdatedLimit = 5 * time.Second
	// targetThreshold is the share of the request's target time above which any further wait is also counted lateWeight
	// times.
	targetThreshold = 0.7
	lateWeight      = 3.0
	// unreachableZoneCost is the cost of an engine in a zone from which no messages are received. It keeps requests on
	// reachable engines, for example when the own zone is partitioned from the others.
	unreachableZoneCost = 300 * time.Millisecond
	// attentionPerMillionPairs is the time that an engine takes to compute attention for a million pairs of tokens.
	attentionPerMillionPairs = 275 * time.Microsecond
	// preferenceDiscount is how much less a preferred engine costs.
	preferenceDiscount = 50 * time.Millisecond
	// overSlotCost is the cost of each request beyond the slots of a backend server.
	overSlotCost = 50 * time.Millisecond
)

// A Balancer chooses a backend server for each request. It is safe for concurrent use.
type Balancer struct {
	options    Options
	mutex      sync.Mutex
	random     *rand.Rand
	ownLoads   map[string]Load
	otherLoads map[string]Load
	estimates  *estimates
	// models holds what was learned of each service, speeds the samples of this instance of each engine.
	models map[string]serviceModel
	speeds map[string]slowness
	// memories holds how requests of each service use memory, held the shared blocks that requests of this instance hold at each engine.
	memories map[string]memoryModel
	held     map[string]map[Key]heldBlock
	// scratch holds the candidates of a placement.
	scratch []candidate
	// now is the latest time of which a caller has told.
	now time.Time
}

// New returns a Balancer without load or cache estimates.
func New(options Options) *Balancer {
	options.OutdatedLimit = cmp.Or(options.OutdatedLimit, defaultOutdatedLimit)
	options.EstimateBytes = cmp.Or(options.EstimateBytes, defaultEstimateBytes)
	return &Balancer{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		ownLoads: map[string]Load{}, otherLoads: map[string]Load{}, estimates: newEstimates(options.EstimateBytes),
		models: map[string]serviceModel{}, speeds: map[string]slowness{}, memories: map[string]memoryModel{},
		held: map[string]map[Key]heldBlock{},
	}
}

// Choose returns the engine of the lowest cost for the request and counts the request as load of that engine until End
// is called. It reports false when no engine can take the request.
func (b *Balancer) Choose(now time.Time, request Request, engines []Engine) (Choice, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.now = now
	b.noteUrgency(now, request.Service, request.Urgency)
	p, candidates := b.newPlacement(now, request, engines)
	order := p.ranked(usable(request, candidates, b.options.OutdatedLimit))
	best, ok := p.cheapest(order, p.compared(order))
	if !ok {
		best, ok = p.cheapest(order, nil)
	}
	if !ok {
		return Choice{}, false
	}
	best.Candidates = len(order)
	if p.home != "" {
		best.Rank = rankOf(best.Engine.ID, order)
	}
	best.SavesToStore = p.isWorthSaving(now, best)
	switch {
	case best.Source != "" || best.FetchesFromStore:
	case best.Store.hasLongResidency() && len(best.blocks) > 0:
		// The store may hold blocks of which this instance has received no update, and a miss costs only a millisecond.
		best.FetchesFromStore = true
	default:
		best.Source = p.secondSource(order, best)
	}
	best.chosenAt, best.service, best.ownTokens = now, request.Service, p.ownTokens
	best.work = best.Missing + int(b.attention(best.Missing, request.Tokens).Seconds()*1000*b.options.PrefillPerMilli)
	b.count(best.Engine.ID, Load{Waiting: best.work, Running: 1})
	b.hold(best)
	b.estimates.markComputing(now, best.Engine.ID, best.blocks)
	if best.SavesToStore {
		b.estimates.markComputing(now, best.Store.name(), best.blocks)
	}
	return best, true
}

func (b *Balancer) cost(request Request, choice Choice) time.Duration {
	cost := choice.placedWait + time.Duration(computeWeight*float64(b.prefill(choice.Missing)))
	if choice.Engine.Zone != b.options.Zone {
		cost += crossZoneCost
	}
	if choice.Engine.OutdatedFor > outdatedGrace {
		cost += outdatedCost
	}
	late := choice.placedWait - time.Duration(targetThreshold*float64(request.Target))
	if request.Target > 0 && late > 0 {
		cost += time.Duration(lateWeight * float64(late))
	}
	if choice.Engine.IsZoneUnreachable {
		cost += unreachableZoneCost
	}
	if choice.isPreferred {
		cost -= preferenceDiscount
	}
	if len(request.Blocks) == 0 {
		cost += time.Duration(b.random.Int64N(int64(time.Millisecond)))
	}
	return cost
}

func (b *Balancer) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.options.PrefillPerMilli * float64(time.Millisecond))
}

// attention returns the time that the attention of the missing tokens adds to their prefill: each token attends to all
// tokens before it, so long prompts take longer per token.
func (b *Balancer) attention(missing, total int) time.Duration {
	pairs := float64(missing) * (float64(total) - float64(missing)/2)
	return time.Duration(pairs / 1e6 * float64(attentionPerMillionPairs))
}

func (b *Balancer) load(engine string) Load {
	return b.ownLoads[engine].Plus(b.otherLoads[engine])
}

// QueueTime returns the expected time until the engine has computed the prompts that wait there.
func (b *Balancer) QueueTime(engine string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.prefill(b.load(engine).Waiting)
}

// Load returns the known load that all instances together put on the engine.
func (b *Balancer) Load(engine string) Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.load(engine)
}

// FirstEvent records that the first event of the request has arrived, so that its prompt has been computed.
func (b *Balancer) FirstEvent(now time.Time, choice Choice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.now = now
	b.estimates.markReady(now, choice.Engine.ID, choice.blocks)
	if choice.SavesToStore {
		b.estimates.markReady(now, choice.Store.name(), choice.blocks)
	}
	b.count(choice.Engine.ID, Load{Waiting: -choice.work})
}

// End records that the request has ended. With computed, its prompt was computed before the end, because its first event
// had arrived.
func (b *Balancer) End(choice Choice, computed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	load := Load{Running: -1}
	if !computed {
		load.Waiting = -choice.work
		b.estimates.abandon(choice.Engine.ID, choice.blocks)
		if choice.SavesToStore {
			b.estimates.abandon(choice.Store.name(), choice.blocks)
		}
	}
	if computed {
		b.learnResidence(b.now, choice)
	}
	b.count(choice.Engine.ID, load)
	b.release(choice)
}

func (b *Balancer) count(engine string, load Load) {
	sum := b.ownLoads[engine].Plus(load)
	if sum == (Load{}) {
		delete(b.ownLoads, engine)
		return
	}
	b.ownLoads[engine] = sum
}

// OwnLoads returns the load that this instance puts on each engine.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	ownLoads := make(map[string]Load, len(b.ownLoads))
	for name, l := range b.ownLoads {
		ownLoads[name] = l
	}
	return ownLoads
}

// SetOtherLoads replaces the known load of all other instances.
func (b *Balancer) SetOtherLoads(loads map[string]Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.otherLoads = loads
}

// Cursors are a reader's positions in the two logs of cache updates.
type Cursors struct {
	// SameZone is the position in the log of updates from the own availability zone.
	SameZone uint64
	// OtherZones is the position in the log of updates received from other availability zones.
	OtherZones uint64
}

// Updates returns the cache updates after the cursors and the cursors for the next call. Without otherZones it leaves out
// updates that were received from other availability zones.
func (b *Balancer) Updates(now time.Time, cursors Cursors, otherZones bool) ([]CacheUpdate, Cursors) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.now = now
	updates, sameZone := b.estimates.sameZone.since(now, cursors.SameZone)
	cursors.SameZone = sameZone
	if otherZones {
		more, next := b.estimates.otherZones.since(now, cursors.OtherZones)
		updates, cursors.OtherZones = append(updates, more...), next
	}
	return updates, cursors
}

// Merge applies cache updates from another instance. With otherZones, that instance is in another availability zone.
func (b *Balancer) Merge(now time.Time, updates []CacheUpdate, otherZones bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	log := b.estimates.sameZone
	if otherZones {
		log = b.estimates.otherZones
	}
	for _, h := range updates {
		b.estimates.receive(now, h, log)
	}
}

// RecordCached applies the cache content that this instance has read at an engine or KV store, and queues it as updates for
// other instances.
func (b *Balancer) RecordCached(now time.Time, engine string, keys []Key) {
	updates := make([]CacheUpdate, 0, len(keys))
	for _, k := range keys {
		updates = append(updates, CacheUpdate{Engine: engine, Key: k})
	}
	b.Merge(now, updates, false)
}

// Forget drops the cache estimate and the learned speed of an engine or KV store, because it has restarted or changed its weights.
func (b *Balancer) Forget(engine string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.estimates.forget(engine)
	delete(b.speeds, engine)
}
