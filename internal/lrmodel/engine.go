// Package lrmodel simulates engines, routers and their traffic in injected time, so that placement policies can be
// compared on the same trace.
//
// A request's prompt is a chain of prefix blocks, the units that engines cache. A router (an instance) places each
// request on an engine by its placer. An incarnation is one run of an engine between two restarts.
package lrmodel

import (
	"container/list"
	"strconv"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// Engine is a FIFO queue that runs one prefill at a time, with an LRU cache of prefix blocks.
// Requests are served in order of arrival, so the outcome of each one is known when it arrives.
type Engine struct {
	name        string
	zone        string
	incarnation int
	down        bool
	capacity    int
	busyUntil   time.Time
	recency     *list.List
	blocks      map[lrprefix.ID]*list.Element
	stored      []lrprefix.ID
	evicted     []lrprefix.ID
}

func newEngine(name, zone string, capacity int) *Engine {
	e := &Engine{name: name, zone: zone, capacity: capacity}
	e.restart()
	return e
}

func (e *Engine) restart() {
	e.incarnation++
	e.busyUntil = time.Time{}
	e.recency = list.New()
	e.blocks = map[lrprefix.ID]*list.Element{}
	e.stored, e.evicted = nil, nil
}

func (e *Engine) incarnationName() string { return e.name + "/" + strconv.Itoa(e.incarnation) }

// match returns the number of leading blocks of the chain that are cached.
func (e *Engine) match(chain []lrprefix.ID) int {
	for n, id := range chain {
		_, ok := e.blocks[id]
		if !ok {
			return n
		}
	}
	return len(chain)
}

func (e *Engine) store(chain []lrprefix.ID) {
	for _, id := range chain {
		element, ok := e.blocks[id]
		if ok {
			e.recency.MoveToFront(element)
			continue
		}
		e.blocks[id] = e.recency.PushFront(id)
		e.stored = append(e.stored, id)
	}
	for e.recency.Len() > e.capacity {
		oldest := e.recency.Back()
		id, _ := e.recency.Remove(oldest).(lrprefix.ID)
		delete(e.blocks, id)
		e.evicted = append(e.evicted, id)
	}
}

// takeCacheUpdate returns the blocks stored and evicted since the last call, the latest stored first.
func (e *Engine) takeCacheUpdate() lrroute.CacheUpdate {
	update := lrroute.CacheUpdate{Engine: e.name, Incarnation: e.incarnationName(), Evicted: e.evicted}
	for n := len(e.stored) - 1; n >= 0; n-- {
		id := e.stored[n]
		_, ok := e.blocks[id]
		if ok {
			update.Stored = append(update.Stored, id)
		}
	}
	e.stored, e.evicted = nil, nil
	return update
}

// contents returns all cached blocks, the most recently used first.
func (e *Engine) contents() lrroute.CacheUpdate {
	update := lrroute.CacheUpdate{Engine: e.name, Incarnation: e.incarnationName()}
	for element := e.recency.Front(); element != nil; element = element.Next() {
		id, _ := element.Value.(lrprefix.ID)
		update.Stored = append(update.Stored, id)
	}
	return update
}

// queueWait returns how long a request that arrives now waits before its prefill starts.
func (e *Engine) queueWait(now time.Time) time.Duration {
	return max(0, e.busyUntil.Sub(now))
}

// serve queues a request. It returns the number of its blocks that were cached and the time of its first token.
func (e *Engine) serve(now time.Time, request Arrival, costs Costs) (int, time.Time) {
	cached := e.match(request.Chain)
	e.store(request.Chain)
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(costs.serviceTime(request.Tokens - cached*lrprefix.BlockTokens))
	return cached, e.busyUntil
}

// Costs are the durations of work on an engine.
type Costs struct {
	PrefillPerToken time.Duration
	// DecodePerRequest is the prefill time that decoding one answer takes from other requests.
	DecodePerRequest time.Duration
}

// DefaultCosts returns the costs of an engine that prefills a block in a fifth of a second.
func DefaultCosts() Costs {
	return Costs{PrefillPerToken: 100 * time.Microsecond, DecodePerRequest: 20 * time.Millisecond}
}

func (c Costs) serviceTime(tokens int) time.Duration {
	return c.DecodePerRequest + time.Duration(tokens)*c.PrefillPerToken
}
