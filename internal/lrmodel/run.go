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
	reportInterval  = 500 * time.Millisecond
	updateInterval  = 25 * time.Millisecond
	maxUpdates      = 64
	cacheEventDelay = 200 * time.Millisecond
	decodeTime      = 3 * time.Second
)

// Setup describes one simulation run.
type Setup struct {
	Engines int
	// CacheBlocks is the capacity of each engine's cache in blocks.
	CacheBlocks int
	Zones       int
	Traffic     Traffic
	Costs       Costs
	// RestartEvery is the period at which all routers restart together and lose their state. Zero means never.
	RestartEvery time.Duration
	// CacheEvents delivers the engines' cache events to every router along with the load reports.
	CacheEvents bool
	// NoCacheUpdates withholds cache events and the cache contents sent at a restart from all routers.
	NoCacheUpdates bool
	// CrashAt is when an engine crashes. It returns with an empty cache after OutageDuration.
	CrashAt        time.Duration
	OutageDuration time.Duration
}

// NewPlacer creates the placer of a router.
type NewPlacer func(fleet *Fleet, router int, seed uint64) lrroute.Placer

// ServedRequest is a request with its measured outcome. Cached, BestCached and ExpectedCached count prompt tokens.
type ServedRequest struct {
	Arrival    Arrival
	Cached     int
	FirstToken time.Duration
	// BestCached is the largest number of leading tokens that any engine had cached when the request was placed.
	BestCached int
	// ExpectedCached is the number of tokens that the router expected to be cached.
	ExpectedCached int
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

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Fleet is the state of one run: engines, routers and requests in flight.
type Fleet struct {
	setup     Setup
	newPlacer NewPlacer
	start     time.Time
	engines   []*Engine
	byName    map[string]*Engine
	placers   []lrroute.Placer
	events    events
	scheduled int
	served    []ServedRequest
	restarts  uint64
	inFlight  map[string]*inFlightRequest
}

// inFlightRequest is a request that waits for a placement or for its first token.
type inFlightRequest struct {
	arrival      Arrival
	engine       *Engine
	excluded     []string
	firstTokenAt time.Time
}

// Run replays the trace against the engines, with one placer for each router, and returns the requests in order of arrival.
func Run(setup Setup, newPlacer NewPlacer) []ServedRequest {
	r := &Fleet{
		setup: setup, newPlacer: newPlacer, start: time.Unix(1_000_000, 0), byName: map[string]*Engine{}, inFlight: map[string]*inFlightRequest{},
	}
	for n := range setup.Engines {
		e := newEngine(fmt.Sprintf("engine-%03d", n), fmt.Sprint("zone-", n%max(1, setup.Zones)), setup.CacheBlocks)
		r.engines = append(r.engines, e)
		r.byName[e.name] = e
	}
	r.restartRouters(r.start)
	for _, a := range setup.Traffic.Trace() {
		r.schedule(r.start.Add(a.At), func(now time.Time) { r.arrive(now, &inFlightRequest{arrival: a}) })
	}
	for at := reportInterval; at < setup.Traffic.Duration; at += reportInterval {
		r.schedule(r.start.Add(at), r.reportEngines)
	}
	for at := updateInterval; at < setup.Traffic.Duration; at += updateInterval {
		r.schedule(r.start.Add(at), r.exchangeUpdates)
	}
	for at := setup.RestartEvery; at > 0 && at < setup.Traffic.Duration; at += setup.RestartEvery {
		r.schedule(r.start.Add(at), r.restartRouters)
	}
	if setup.CrashAt > 0 {
		r.schedule(r.start.Add(setup.CrashAt), r.crashEngine)
		r.schedule(r.start.Add(setup.CrashAt+setup.OutageDuration), func(time.Time) { r.engines[0].down = false })
	}
	for len(r.events) > 0 {
		next, _ := heap.Pop(&r.events).(event)
		next.run(next.at)
	}
	slices.SortFunc(r.served, func(a, b ServedRequest) int { return int(a.Arrival.At - b.Arrival.At) })
	return r.served
}

func (r *Fleet) schedule(at time.Time, call func(now time.Time)) {
	r.scheduled++
	heap.Push(&r.events, event{at: at, order: r.scheduled, run: call})
}

func (r *Fleet) restartRouters(now time.Time) {
	r.restarts++
	r.placers = nil
	for n := range r.setup.Traffic.Routers {
		r.placers = append(r.placers, r.newPlacer(r, n, r.setup.Traffic.Seed*1000+r.restarts*100+uint64(n)))
	}
	r.reportEngines(now)
	for _, e := range r.engines {
		r.sendCacheUpdate(now, e.contents())
	}
}

// reportEngines sends every router the load and the cache events of every engine.
func (r *Fleet) reportEngines(now time.Time) {
	for _, p := range r.placers {
		p.SetEngines(now, Model, r.engineStates(now))
	}
	for _, e := range r.engines {
		if r.setup.CacheEvents {
			update := e.takeCacheUpdate()
			r.schedule(now.Add(cacheEventDelay), func(now time.Time) { r.sendCacheUpdate(now, update) })
		}
	}
}

// cacheObserver is a placer that applies cache events.
type cacheObserver interface {
	ApplyCacheUpdate(now time.Time, update lrroute.CacheUpdate)
}

func (r *Fleet) sendCacheUpdate(now time.Time, update lrroute.CacheUpdate) {
	for _, p := range r.placers {
		to, ok := p.(cacheObserver)
		if ok && !r.setup.NoCacheUpdates {
			to.ApplyCacheUpdate(now, update)
		}
	}
}

// updateExchanger is a placer that sends its placements to the other instances.
type updateExchanger interface {
	TakePlacementUpdates(now time.Time, limit int) []lrroute.PlacementUpdate
	ApplyPlacementUpdates(now time.Time, updates []lrroute.PlacementUpdate)
}

// exchangeUpdates sends the placement updates of every router to all others.
func (r *Fleet) exchangeUpdates(now time.Time) {
	for n, sender := range r.placers {
		from, ok := sender.(updateExchanger)
		if !ok {
			return
		}
		updates := from.TakePlacementUpdates(now, maxUpdates)
		for o, receiver := range r.placers {
			to, ok := receiver.(updateExchanger)
			if ok && o != n && len(updates) > 0 {
				to.ApplyPlacementUpdates(now, updates)
			}
		}
	}
}

func (r *Fleet) engineStates(now time.Time) []lrroute.Engine {
	list := make([]lrroute.Engine, 0, len(r.engines))
	for _, e := range r.engines {
		if e.down {
			continue
		}
		list = append(list, lrroute.Engine{
			Name: e.name, Zone: e.zone, Incarnation: e.incarnationName(), ReportedAt: now,
			QueuedTokens: int(e.queueWait(now) / r.setup.Costs.PrefillPerToken),
		})
	}
	return list
}

func (r *Fleet) arrive(now time.Time, f *inFlightRequest) {
	placer := r.placers[f.arrival.Router]
	request := r.request(f)
	bestCached := r.bestCached(f.arrival.Chain)
	placement, ok := placer.Place(now, request)
	if !ok {
		r.schedule(now.Add(reportInterval), func(now time.Time) { r.arrive(now, f) })
		return
	}
	engine := r.byName[placement.Engine]
	if engine.down {
		placer.Finish(now, engine.name, request)
		f.excluded = append(f.excluded, engine.name)
		r.arrive(now, f)
		return
	}
	cached, firstTokenAt := engine.serve(now, f.arrival, r.setup.Costs)
	f.engine, f.firstTokenAt = engine, firstTokenAt
	r.inFlight[f.arrival.ID] = f
	incarnation := engine.incarnationName()
	served := ServedRequest{
		Arrival: f.arrival, Cached: cached * lrprefix.BlockTokens, BestCached: bestCached,
		FirstToken: firstTokenAt.Sub(r.start.Add(f.arrival.At)), ExpectedCached: placement.ExpectedCachedTokens,
	}
	r.schedule(firstTokenAt, func(now time.Time) { r.firstToken(now, placer, request, incarnation, served) })
	r.schedule(firstTokenAt.Add(decodeTime), func(now time.Time) { placer.Finish(now, engine.name, request) })
}

func (r *Fleet) request(f *inFlightRequest) lrroute.Request {
	return lrroute.Request{
		ID: f.arrival.ID, Scope: f.arrival.Scope, Chain: f.arrival.Chain, Tokens: f.arrival.Tokens, Excluded: slices.Clone(f.excluded),
	}
}

func (r *Fleet) firstToken(now time.Time, placer lrroute.Placer, request lrroute.Request, incarnation string, served ServedRequest) {
	f := r.inFlight[request.ID]
	if f == nil || f.engine.incarnationName() != incarnation {
		return
	}
	delete(r.inFlight, request.ID)
	r.served = append(r.served, served)
	placer.Learn(now, lrroute.Feedback{
		Engine: f.engine.name, Incarnation: incarnation, Request: request, CachedTokens: served.Cached,
		QueuedTokens: int(f.engine.queueWait(now) / r.setup.Costs.PrefillPerToken), TimeToFirstToken: served.FirstToken,
	})
}

// bestCached returns the largest number of leading tokens that any engine has cached.
func (r *Fleet) bestCached(chain []lrprefix.ID) int {
	most := 0
	for _, e := range r.engines {
		if !e.down {
			most = max(most, e.match(chain))
		}
	}
	return most * lrprefix.BlockTokens
}

// crashEngine crashes the first engine and places its requests on other engines.
func (r *Fleet) crashEngine(now time.Time) {
	crashed := r.engines[0]
	var retries []*inFlightRequest
	for _, f := range r.inFlight {
		if f.engine == crashed {
			retries = append(retries, f)
		}
	}
	slices.SortFunc(retries, func(a, b *inFlightRequest) int { return int(a.arrival.At - b.arrival.At) })
	crashed.restart()
	crashed.down = true
	for _, f := range retries {
		r.placers[f.arrival.Router].Finish(now, crashed.name, r.request(f))
		f.excluded = append(f.excluded, crashed.name)
		r.arrive(now, f)
	}
}
