package lrroute

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// Nested is a Placer that spreads prefixes over engines by hashing, level by level.
type Nested struct {
	options  nestedOptions
	mutex    sync.Mutex
	random   *rand.Rand
	epoch    time.Time
	models   map[string]*modelState
	engines  []engineState
	byName   map[string]uint16
	free     []uint16
	pieces   *pieceTable
	flights  map[flightKey]flight
	perToken time.Duration
	// trust is the part of the pieces assumed to be held that answers showed to be held.
	trust float64
	// homeTrust is the part of the unknown pieces that answers showed to be held by the engine that hashing chose.
	homeTrust float64
	hearing   hearing
	scratch   scratch
	store     keptStore

	outgoing    []outgoingNote
	foreign     [foreignSendRoom]foreignSend
	nextForeign int
}

const (
	firstTrust = 0.8
	trustStep  = 0.05
	speedStep  = 0.02
)

type flightKey struct{ request, engine string }

// modelState is what is known of one model: its engines and its whole load.
type modelState struct {
	names   []string
	indexes []uint16
	table   *slotTable
	// idle are the engines that had the least work at the last report.
	idle   []uint16
	rate   float64
	usedAt uint32
}

// NewNested returns a Placer that needs no messages between instances: a prefix chooses a subset of the engines sized
// by its share of the load, and each longer prefix a subset of that one.
func NewNested(options ...NestedOption) *Nested {
	o := defaultNestedOptions()
	for _, option := range options {
		option(&o)
	}
	return &Nested{
		options: o, random: rand.New(rand.NewPCG(o.seed, o.seed)), models: map[string]*modelState{},
		byName: map[string]uint16{}, pieces: newPieceTable(o.beliefBytes, o.window),
		flights: map[flightKey]flight{}, perToken: o.prefillPerToken, trust: firstTrust,
	}
}

// SetEngines replaces the engines of a model. The slots are filled anew only when an engine came or went.
func (n *Nested) SetEngines(now time.Time, model string, engines []Engine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.start(now)
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
		n.update(n.byName[e.Name], e)
	}
	n.recount()
	n.findIdle(m)
}

func (n *Nested) replaceEngines(m *modelState, engines []Engine) {
	previous := m.indexes
	m.names, m.indexes = nil, nil
	for _, e := range engines {
		index := n.index(e)
		n.engines[index].models++
		m.names = append(m.names, e.Name)
		m.indexes = append(m.indexes, index)
	}
	for _, index := range previous {
		n.release(index)
	}
	m.table = newSlotTable(m.names)
}

// index returns the number of the engine, a new one when it has none.
func (n *Nested) index(e Engine) uint16 {
	index, ok := n.byName[e.Name]
	if ok {
		return index
	}
	state := engineState{Engine: Engine{Name: e.Name, Zone: e.Zone}, room: n.options.room}
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

// release gives the number of an engine back when no model uses it any more.
func (n *Nested) release(index uint16) {
	state := &n.engines[index]
	state.models--
	if state.models > 0 {
		return
	}
	delete(n.byName, state.Name)
	n.free = append(n.free, index)
}

func (n *Nested) update(index uint16, e Engine) {
	state := &n.engines[index]
	state.usable, state.Zone = !e.Unreachable, e.Zone
	if !state.meet(e.Incarnation) || !e.ReportedAt.After(state.ReportedAt) {
		return
	}
	state.Running = e.Running
	state.report(e.QueuedTokens, e.ReportedAt)
}

// recount adds what was sent after the last report of each engine to what that report told.
func (n *Nested) recount() {
	for k := range n.engines {
		state := &n.engines[k]
		if !state.ReportedAt.IsZero() {
			state.busyUntil = state.ReportedAt.Add(time.Duration(state.QueuedTokens) * n.perToken)
		}
	}
	for _, f := range n.flights {
		state := &n.engines[f.engine]
		if !f.first && !state.ReportedAt.IsZero() && f.sentAt.After(state.ReportedAt) {
			state.busyUntil = state.busyUntil.Add(time.Duration(f.tokens) * n.perToken)
		}
	}
	for _, f := range n.foreign {
		if f.work <= 0 {
			continue
		}
		state := &n.engines[f.engine]
		if !state.ReportedAt.IsZero() && f.at.After(state.ReportedAt) {
			state.busyUntil = state.busyUntil.Add(f.work)
		}
	}
}

// Learn takes in what an answer told when its first token arrived.
func (n *Nested) Learn(now time.Time, feedback Feedback) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	index, ok := n.byName[feedback.Engine]
	if !ok || !n.engines[index].meet(feedback.Incarnation) {
		return
	}
	n.learnLoad(now, index, feedback)
	n.learnPieces(now, index, feedback)
}

func (n *Nested) learnLoad(now time.Time, index uint16, feedback Feedback) {
	key := flightKey{feedback.Request.ID, feedback.Engine}
	f, ok := n.flights[key]
	if !ok || f.engine != index {
		return
	}
	n.learnSpeed(now, f, feedback)
	cached := feedback.CachedTokens / lrprefix.PieceTokens
	if f.wanted > 0 {
		n.store.judge(now, f.wanted, cached-f.held)
	} else {
		n.engines[index].judge(f, cached)
	}
	n.engines[index].stored += uint32(max(0, f.held-cached))
	if f.unknown > 0 && f.wanted == 0 {
		kept := float64(cached-max(f.held, f.assumed)) / float64(f.unknown)
		n.homeTrust += trustStep * (min(1, max(0, kept)) - n.homeTrust)
	}
	if f.assumed > f.held && f.wanted == 0 {
		kept := float64(cached-f.held) / float64(f.assumed-f.held)
		n.trust += trustStep * (min(1, max(0, kept)) - n.trust)
	}
	f.first = true
	n.flights[key] = f
	n.engines[index].report(feedback.QueuedTokens, now)
	n.recount()
}

// learnSpeed moves the time of one prompt token towards what the first token took. Short waits tell too little.
func (n *Nested) learnSpeed(now time.Time, f flight, feedback Feedback) {
	tokens := f.ahead + feedback.Request.Tokens - feedback.CachedTokens
	if tokens < lrprefix.PieceTokens || f.wanted > 0 {
		return
	}
	seen := float64(now.Sub(f.sentAt)) / float64(tokens)
	n.perToken = max(1, n.perToken+time.Duration(speedStep*(seen-float64(n.perToken))))
}

// learnPieces confirms the pieces of the prompt: the engine holds all of them once it has given the first token.
func (n *Nested) learnPieces(now time.Time, index uint16, feedback Feedback) {
	h := n.holder(now, index)
	for _, id := range feedback.Request.Chain {
		p := n.pieces.find(id)
		if p != nil {
			p.hold(h)
			p.answered = true
		}
	}
}

// holder returns the belief that the engine uses a piece now.
func (n *Nested) holder(now time.Time, index uint16) holder {
	state := &n.engines[index]
	return holder{engine: index, generation: state.generation, confirmed: n.ticks(now), stored: state.stored}
}

// Finish takes back the load that Place counted for the request. Calling it again has no effect.
func (n *Nested) Finish(_ time.Time, engine string, request Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := flightKey{request.ID, engine}
	f, ok := n.flights[key]
	if !ok {
		return
	}
	delete(n.flights, key)
	if f.first {
		return
	}
	n.recount()
	n.forget(f.engine, request.Chain[min(f.remembered, len(request.Chain)):])
}

// forget drops the belief that an engine holds the pieces, which a request without a first token was to compute.
func (n *Nested) forget(index uint16, chain []lrprefix.ID) {
	for _, id := range chain {
		p := n.pieces.find(id)
		if p != nil {
			p.drop(index)
		}
	}
}

// start fixes the time from which ticks are counted, a little in the past so that no tick is zero.
func (n *Nested) start(now time.Time) {
	if n.epoch.IsZero() {
		n.epoch = now.Add(-time.Second)
	}
}

func (n *Nested) ticks(now time.Time) uint32 {
	return uint32(max(1, now.Sub(n.epoch)/tick))
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
