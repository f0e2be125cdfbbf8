package lrmodel

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	reportInterval = 500 * time.Millisecond
	noteInterval   = 25 * time.Millisecond
	noteLimit      = 64
	eventLag       = 200 * time.Millisecond
	decodeTime     = 3 * time.Second
)

// Setup describes one run.
type Setup struct {
	Engines int
	// CachePieces is the room of each engine's cache.
	CachePieces int
	Zones       int
	Traffic     Traffic
	Costs       Costs
	// RestartEvery is the time after which every router loses all that it knows, again and again. Zero means never.
	RestartEvery time.Duration
	// Events makes the engines' cache events reach every router with the load reports.
	Events bool
	// NoHoldings keeps the contents of the caches from routers that start.
	NoHoldings bool
	// Lose is when an engine crashes. It comes back empty after LostFor.
	Lose    time.Duration
	LostFor time.Duration
}

// NewPlacer makes the placer of a router.
type NewPlacer func(fleet *Fleet, router int, seed uint64) lrroute.Placer

// Served is what became of one request.
type Served struct {
	Arrival    Arrival
	Cached     int
	FirstToken time.Duration
	// Held is the largest number of leading tokens that any engine held when the request was placed.
	Held int
	// Expected is what the router expected to be cached.
	Expected int
}

type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	if e[a].at.Equal(e[b].at) {
		return e[a].order < e[b].order
	}
	return e[a].at.Before(e[b].at)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push adds an event for the heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for the heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Fleet is the state of one run: engines, routers and the requests under way.
type Fleet struct {
	setup     Setup
	newPlacer NewPlacer
	start     time.Time
	engines   []*Engine
	byName    map[string]*Engine
	placers   []lrroute.Placer
	events    events
	scheduled int
	served    []Served
	restarts  uint64
	flights   map[string]*flight
}

// flight is a request that an engine is working on.
type flight struct {
	arrival  Arrival
	engine   *Engine
	excluded []string
	first    time.Time
}

// Run plays the trace against the engines, with one placer for each router.
func Run(setup Setup, newPlacer NewPlacer) []Served {
	r := &Fleet{
		setup: setup, newPlacer: newPlacer, start: time.Unix(1_000_000, 0), byName: map[string]*Engine{}, flights: map[string]*flight{},
	}
	for n := range setup.Engines {
		e := newEngine(fmt.Sprintf("engine-%03d", n), fmt.Sprint("zone-", n%max(1, setup.Zones)), setup.CachePieces)
		r.engines = append(r.engines, e)
		r.byName[e.name] = e
	}
	r.restartRouters(r.start)
	for _, a := range setup.Traffic.Trace() {
		r.at(r.start.Add(a.At), func(now time.Time) { r.arrive(now, &flight{arrival: a}) })
	}
	for at := reportInterval; at < setup.Traffic.Duration; at += reportInterval {
		r.at(r.start.Add(at), r.report)
	}
	for at := noteInterval; at < setup.Traffic.Duration; at += noteInterval {
		r.at(r.start.Add(at), r.exchangeNotes)
	}
	for at := setup.RestartEvery; at > 0 && at < setup.Traffic.Duration; at += setup.RestartEvery {
		r.at(r.start.Add(at), r.restartRouters)
	}
	if setup.Lose > 0 {
		r.at(r.start.Add(setup.Lose), r.lose)
		r.at(r.start.Add(setup.Lose+setup.LostFor), func(time.Time) { r.engines[0].down = false })
	}
	for len(r.events) > 0 {
		next, _ := heap.Pop(&r.events).(event)
		next.run(next.at)
	}
	slices.SortFunc(r.served, func(a, b Served) int { return int(a.Arrival.At - b.Arrival.At) })
	return r.served
}

func (r *Fleet) at(at time.Time, call func(now time.Time)) {
	r.scheduled++
	heap.Push(&r.events, event{at: at, order: r.scheduled, run: call})
}

func (r *Fleet) restartRouters(now time.Time) {
	r.restarts++
	r.placers = nil
	for n := range r.setup.Traffic.Routers {
		r.placers = append(r.placers, r.newPlacer(r, n, r.setup.Traffic.Seed*1000+r.restarts*100+uint64(n)))
	}
	r.report(now)
	for _, e := range r.engines {
		r.tellHolding(now, e.contents())
	}
}

// report gives every router the load and the cache events of every engine.
func (r *Fleet) report(now time.Time) {
	for _, p := range r.placers {
		p.SetEngines(now, Model, r.describe(now))
	}
	for _, e := range r.engines {
		if r.setup.Events {
			holding := e.events()
			r.at(now.Add(eventLag), func(now time.Time) { r.tellHolding(now, holding) })
		}
	}
}

// holder is a placer that takes in cache events.
type holder interface {
	ApplyHolding(now time.Time, holding lrroute.Holding)
}

func (r *Fleet) tellHolding(now time.Time, holding lrroute.Holding) {
	for _, p := range r.placers {
		to, ok := p.(holder)
		if ok && !r.setup.NoHoldings {
			to.ApplyHolding(now, holding)
		}
	}
}

// noter is a placer that tells the other instances of its placements.
type noter interface {
	TakeNotes(now time.Time, limit int) []lrroute.Note
	ApplyNotes(now time.Time, notes []lrroute.Note)
}

// exchangeNotes gives the notes of every router to all others.
func (r *Fleet) exchangeNotes(now time.Time) {
	for n, sender := range r.placers {
		from, ok := sender.(noter)
		if !ok {
			return
		}
		notes := from.TakeNotes(now, noteLimit)
		for o, receiver := range r.placers {
			to, ok := receiver.(noter)
			if ok && o != n && len(notes) > 0 {
				to.ApplyNotes(now, notes)
			}
		}
	}
}

func (r *Fleet) describe(now time.Time) []lrroute.Engine {
	list := make([]lrroute.Engine, 0, len(r.engines))
	for _, e := range r.engines {
		if e.down {
			continue
		}
		list = append(list, lrroute.Engine{
			Name: e.name, Zone: e.zone, Incarnation: e.incarnationName(), ReportedAt: now,
			QueuedTokens: int(e.queued(now) / r.setup.Costs.PrefillPerToken),
		})
	}
	return list
}

func (r *Fleet) arrive(now time.Time, f *flight) {
	placer := r.placers[f.arrival.Router]
	request := r.request(f)
	held := r.held(f.arrival.Chain)
	placement, ok := placer.Place(now, request)
	if !ok {
		r.at(now.Add(reportInterval), func(now time.Time) { r.arrive(now, f) })
		return
	}
	engine := r.byName[placement.Engine]
	if engine.down {
		placer.Finish(now, engine.name, request)
		f.excluded = append(f.excluded, engine.name)
		r.arrive(now, f)
		return
	}
	cached, first := engine.serve(now, f.arrival, r.setup.Costs)
	f.engine, f.first = engine, first
	r.flights[f.arrival.ID] = f
	incarnation := engine.incarnationName()
	served := Served{
		Arrival: f.arrival, Cached: cached * lrprefix.PieceTokens, Held: held,
		FirstToken: first.Sub(r.start.Add(f.arrival.At)), Expected: placement.ExpectedCachedTokens,
	}
	r.at(first, func(now time.Time) { r.firstToken(now, placer, request, incarnation, served) })
	r.at(first.Add(decodeTime), func(now time.Time) { placer.Finish(now, engine.name, request) })
}

func (r *Fleet) request(f *flight) lrroute.Request {
	return lrroute.Request{
		ID: f.arrival.ID, Scope: f.arrival.Scope, Chain: f.arrival.Chain, Tokens: f.arrival.Tokens, Excluded: slices.Clone(f.excluded),
	}
}

func (r *Fleet) firstToken(now time.Time, placer lrroute.Placer, request lrroute.Request, incarnation string, served Served) {
	f := r.flights[request.ID]
	if f == nil || f.engine.incarnationName() != incarnation {
		return
	}
	delete(r.flights, request.ID)
	r.served = append(r.served, served)
	placer.Learn(now, lrroute.Feedback{
		Engine: f.engine.name, Incarnation: incarnation, Request: request, CachedTokens: served.Cached,
		QueuedTokens: int(f.engine.queued(now) / r.setup.Costs.PrefillPerToken), FirstToken: served.FirstToken,
	})
}

// held returns the largest number of leading tokens that any engine holds.
func (r *Fleet) held(chain []lrprefix.ID) int {
	most := 0
	for _, e := range r.engines {
		if !e.down {
			most = max(most, e.match(chain))
		}
	}
	return most * lrprefix.PieceTokens
}

// lose crashes the first engine and sends its requests elsewhere.
func (r *Fleet) lose(now time.Time) {
	lost := r.engines[0]
	var again []*flight
	for _, f := range r.flights {
		if f.engine == lost {
			again = append(again, f)
		}
	}
	slices.SortFunc(again, func(a, b *flight) int { return int(a.arrival.At - b.arrival.At) })
	lost.restart()
	lost.down = true
	for _, f := range again {
		r.placers[f.arrival.Router].Finish(now, lost.name, r.request(f))
		f.excluded = append(f.excluded, lost.name)
		r.arrive(now, f)
	}
}
