package lrroute

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// NestedPlacer is a Placer that assigns prefixes to nested subsets of the engines by consistent hashing, one subset for each level of the
// prompt, and then chooses among a few candidates by cost.
type NestedPlacer struct {
	options nestedOptions
	mutex   sync.Mutex
	random  *rand.Rand
	// tickOrigin is the time of tick 0.
	tickOrigin time.Time
	models     map[string]*modelState
	engines    []engineState
	// byName maps names of engines to indexes in engines, and free lists the unused indexes.
	byName   map[string]uint16
	free     []uint16
	blocks   *blockTable
	inFlight map[inFlightKey]inFlightRequest
	// prefillPerToken is the estimated time to compute one prompt token.
	prefillPerToken time.Duration
	// assumedHitRate is the moving average of the fraction of assumed blocks that responses showed as cached.
	assumedHitRate float64
	// observedHomeHitRate is the moving average of the fraction of unknown blocks that responses showed as cached by the home engine.
	observedHomeHitRate float64
	gossip              gossipCoverage
	scratch             scratch
	kvStore             kvStoreState

	// outgoing buffers updates about own placements that have not been sent yet.
	outgoing []outgoingUpdate
	// remote is a ring buffer of the latest placements by other instances, and nextRemote its next position.
	remote     [remotePlacementLimit]remotePlacement
	nextRemote int
}

const (
	// initialAssumedHitRate is used until responses correct it.
	initialAssumedHitRate = 0.8
	// hitRateStep and prefillStep are the fractions by which the estimated hit rates and the time per prompt token move towards a sample.
	hitRateStep = 0.05
	prefillStep = 0.02
)

// inFlightKey identifies a request at an engine, since a retry places the same request on another engine.
type inFlightKey struct{ request, engine string }

// modelState holds the engines and the load of one model.
type modelState struct {
	// names lists the engines in order, and indexes their positions in Nested.engines.
	names   []string
	indexes []uint16
	table   *slotTable
	// leastBusy lists the engines that had the least work when the engines were last set.
	leastBusy []uint16
	// rate is the exponentially decayed load of the model, in tokens per second, at the tick usedAt.
	rate   float64
	usedAt uint32
}

// NewNestedPlacer returns a Placer that needs no messages between instances: hashing assigns a prefix to a subset of the engines, sized by the
// prefix's share of the load, and each longer prefix to a subset of that subset.
func NewNestedPlacer(options ...NestedOption) *NestedPlacer {
	o := defaultNestedOptions()
	for _, option := range options {
		option(&o)
	}
	return &NestedPlacer{
		options: o, random: rand.New(rand.NewPCG(o.seed, o.seed)), models: map[string]*modelState{},
		byName: map[string]uint16{}, blocks: newBlockTable(o.estimateBytes, o.rateWindow),
		inFlight: map[inFlightKey]inFlightRequest{}, prefillPerToken: o.prefillPerToken, assumedHitRate: initialAssumedHitRate,
	}
}

// SetEngines replaces the engines of a model. The slot table is rebuilt only when an engine was added or removed.
func (n *NestedPlacer) SetEngines(now time.Time, model string, engines []Engine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.setTickOrigin(now)
	m, ok := n.models[model]
	if !ok {
		m = &modelState{table: newSlotTable(nil)}
		n.models[model] = m
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int { return compareNames(a.Name, b.Name) })
	if !slices.EqualFunc(sorted, m.names, func(e Engine, name string) bool { return e.Name == name }) {
		n.replaceEngines(m, sorted)
	}
	for _, e := range sorted {
		n.updateEngine(n.byName[e.Name], e)
	}
	n.recomputeQueues()
	n.findLeastBusy(m)
}

// replaceEngines replaces the engines of a model and its slot table.
func (n *NestedPlacer) replaceEngines(m *modelState, engines []Engine) {
	previous := m.indexes
	m.names, m.indexes = nil, nil
	for _, e := range engines {
		index := n.assignIndex(e)
		n.engines[index].modelCount++
		m.names = append(m.names, e.Name)
		m.indexes = append(m.indexes, index)
	}
	for _, index := range previous {
		n.releaseIndex(index)
	}
	m.table = newSlotTable(m.names)
}

// assignIndex returns the index of the engine. An engine without one gets an unused index, with a new generation so that the holder entries
// of the previous engine do not count for it.
func (n *NestedPlacer) assignIndex(e Engine) uint16 {
	index, ok := n.byName[e.Name]
	if ok {
		return index
	}
	state := engineState{Engine: Engine{Name: e.Name, Zone: e.Zone}, capacityBlocks: n.options.initialCapacityBlocks}
	if len(n.free) > 0 {
		index = n.free[len(n.free)-1]
		n.free = n.free[:len(n.free)-1]
		state.generation = n.engines[index].generation + 1
		n.engines[index] = state
	} else {
		index = uint16(len(n.engines))
		n.engines = append(n.engines, state)
	}
	n.byName[e.Name] = index
	return index
}

// releaseIndex removes one model from the engine, and frees the index of the engine when no model uses it any more.
func (n *NestedPlacer) releaseIndex(index uint16) {
	state := &n.engines[index]
	state.modelCount--
	if state.modelCount > 0 {
		return
	}
	delete(n.byName, state.Name)
	n.free = append(n.free, index)
}

// updateEngine applies a newer description of the engine.
func (n *NestedPlacer) updateEngine(index uint16, e Engine) {
	state := &n.engines[index]
	state.usable, state.Zone = !e.Unreachable, e.Zone
	if !state.observeIncarnation(e.Incarnation) || !e.ReportedAt.After(state.ReportedAt) {
		return
	}
	state.Running = e.Running
	state.applyLoadReport(e.QueuedTokens, e.ReportedAt)
}

// recomputeQueues estimates the queue of each engine with a report from that report and the work sent after it, by this instance and by
// others.
func (n *NestedPlacer) recomputeQueues() {
	for k := range n.engines {
		state := &n.engines[k]
		if !state.ReportedAt.IsZero() {
			state.busyUntil = state.ReportedAt.Add(time.Duration(state.QueuedTokens) * n.prefillPerToken)
		}
	}
	for _, f := range n.inFlight {
		state := &n.engines[f.engine]
		if !f.firstTokenSeen && !state.ReportedAt.IsZero() && f.sentAt.After(state.ReportedAt) {
			state.busyUntil = state.busyUntil.Add(time.Duration(f.tokens) * n.prefillPerToken)
		}
	}
	for _, f := range n.remote {
		if f.work <= 0 {
			continue
		}
		state := &n.engines[f.engine]
		if !state.ReportedAt.IsZero() && f.at.After(state.ReportedAt) {
			state.busyUntil = state.busyUntil.Add(f.work)
		}
	}
}

// Learn updates the estimates when the first token of a response has arrived.
func (n *NestedPlacer) Learn(now time.Time, feedback Feedback) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	index, ok := n.byName[feedback.Engine]
	if !ok || !n.engines[index].observeIncarnation(feedback.Incarnation) {
		return
	}
	n.learnRequest(now, index, feedback)
	n.learnBlocks(now, index, feedback)
}

// learnRequest updates the load, the time per prompt token and the hit rates from the response to a request that this instance has in flight.
// When blocks were to be imported, the cached tokens count for the hit rate of the KV store and for no other hit rate.
func (n *NestedPlacer) learnRequest(now time.Time, index uint16, feedback Feedback) {
	key := inFlightKey{feedback.Request.ID, feedback.Engine}
	f, ok := n.inFlight[key]
	if !ok || f.engine != index {
		return
	}
	n.learnPrefillTime(now, f, feedback)
	cached := feedback.CachedTokens / lrprefix.BlockTokens
	if f.toImport > 0 {
		n.kvStore.observeImport(now, f.toImport, cached-f.estimated)
	} else {
		n.engines[index].adjustCapacity(f, cached)
	}
	n.engines[index].stored += uint32(max(0, f.estimated-cached))
	if f.unknown > 0 && f.toImport == 0 {
		hitRate := float64(cached-max(f.estimated, f.assumed)) / float64(f.unknown)
		n.observedHomeHitRate += hitRateStep * (min(1, max(0, hitRate)) - n.observedHomeHitRate)
	}
	if f.assumed > f.estimated && f.toImport == 0 {
		hitRate := float64(cached-f.estimated) / float64(f.assumed-f.estimated)
		n.assumedHitRate += hitRateStep * (min(1, max(0, hitRate)) - n.assumedHitRate)
	}
	f.firstTokenSeen = true
	n.inFlight[key] = f
	n.engines[index].applyLoadReport(feedback.QueuedTokens, now)
	n.recomputeQueues()
}

// learnPrefillTime moves the time per prompt token towards the measured time to the first token. Requests with less than a block of queued
// and computed tokens are skipped, because so short a wait shows too little, and so are requests with an import.
func (n *NestedPlacer) learnPrefillTime(now time.Time, f inFlightRequest, feedback Feedback) {
	tokens := f.queuedTokens + feedback.Request.Tokens - feedback.CachedTokens
	if tokens < lrprefix.BlockTokens || f.toImport > 0 {
		return
	}
	sample := float64(now.Sub(f.sentAt)) / float64(tokens)
	n.prefillPerToken = max(1, n.prefillPerToken+time.Duration(prefillStep*(sample-float64(n.prefillPerToken))))
}

// learnBlocks confirms the blocks of the prompt: the engine has all of them cached once it has sent the first token.
func (n *NestedPlacer) learnBlocks(now time.Time, index uint16, feedback Feedback) {
	h := n.newHolder(now, index)
	for _, id := range feedback.Request.Chain {
		b := n.blocks.find(id)
		if b != nil {
			b.addHolder(h)
			b.served = true
		}
	}
}

// newHolder returns the holder entry of an engine that uses a block now.
func (n *NestedPlacer) newHolder(now time.Time, index uint16) holder {
	state := &n.engines[index]
	return holder{engine: index, generation: state.generation, confirmed: n.ticks(now), stored: state.stored}
}

// Finish removes the load that Place counted for the request. Calling it again has no effect.
func (n *NestedPlacer) Finish(_ time.Time, engine string, request Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := inFlightKey{request.ID, engine}
	f, ok := n.inFlight[key]
	if !ok {
		return
	}
	delete(n.inFlight, key)
	if f.firstTokenSeen {
		return
	}
	n.recomputeQueues()
	n.dropBlocks(f.engine, request.Chain[min(f.recorded, len(request.Chain)):])
}

// dropBlocks removes an engine from the holders of blocks that a request was to compute, but ended before its first token.
func (n *NestedPlacer) dropBlocks(index uint16, chain []lrprefix.ID) {
	for _, id := range chain {
		b := n.blocks.find(id)
		if b != nil {
			b.dropHolder(index)
		}
	}
}

// setTickOrigin sets the time from which ticks are counted at the first call, a little in the past so that no tick is zero.
func (n *NestedPlacer) setTickOrigin(now time.Time) {
	if n.tickOrigin.IsZero() {
		n.tickOrigin = now.Add(-time.Second)
	}
}

// ticks returns the time as a number of ticks, at least 1.
func (n *NestedPlacer) ticks(now time.Time) uint32 {
	return uint32(max(1, now.Sub(n.tickOrigin)/tick))
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
