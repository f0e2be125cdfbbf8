// Package lrmodel is a model of engines, driven with injected time, on which placement policies are compared.
package lrmodel

import (
	"container/list"
	"strconv"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// Engine is a queue with one prefill at a time before a cache of pieces with eviction of the least recently used.
// Requests are served in the order of their arrival, so that the outcome of each is known when it arrives.
type Engine struct {
	name        string
	zone        string
	incarnation int
	down        bool
	room        int
	busyUntil   time.Time
	order       *list.List
	pieces      map[lrprefix.ID]*list.Element
	stored      []lrprefix.ID
	evicted     []lrprefix.ID
}

func newEngine(name, zone string, room int) *Engine {
	e := &Engine{name: name, zone: zone, room: room}
	e.restart()
	return e
}

func (e *Engine) restart() {
	e.incarnation++
	e.busyUntil = time.Time{}
	e.order = list.New()
	e.pieces = map[lrprefix.ID]*list.Element{}
	e.stored, e.evicted = nil, nil
}

func (e *Engine) incarnationName() string { return e.name + "/" + strconv.Itoa(e.incarnation) }

// match returns the number of leading pieces in the cache.
func (e *Engine) match(chain []lrprefix.ID) int {
	for n, id := range chain {
		_, ok := e.pieces[id]
		if !ok {
			return n
		}
	}
	return len(chain)
}

func (e *Engine) store(chain []lrprefix.ID) {
	for _, id := range chain {
		element, ok := e.pieces[id]
		if ok {
			e.order.MoveToFront(element)
			continue
		}
		e.pieces[id] = e.order.PushFront(id)
		e.stored = append(e.stored, id)
	}
	for e.order.Len() > e.room {
		oldest := e.order.Back()
		id, _ := e.order.Remove(oldest).(lrprefix.ID)
		delete(e.pieces, id)
		e.evicted = append(e.evicted, id)
	}
}

// events returns what was stored and evicted since the last call.
func (e *Engine) events() lrroute.Holding {
	holding := lrroute.Holding{Engine: e.name, Incarnation: e.incarnationName(), Evicted: e.evicted}
	for n := len(e.stored) - 1; n >= 0; n-- {
		id := e.stored[n]
		_, ok := e.pieces[id]
		if ok {
			holding.Stored = append(holding.Stored, id)
		}
	}
	e.stored, e.evicted = nil, nil
	return holding
}

// contents returns all that the cache holds, the latest used first.
func (e *Engine) contents() lrroute.Holding {
	holding := lrroute.Holding{Engine: e.name, Incarnation: e.incarnationName()}
	for element := e.order.Front(); element != nil; element = element.Next() {
		id, _ := element.Value.(lrprefix.ID)
		holding.Stored = append(holding.Stored, id)
	}
	return holding
}

// queued returns the time until a request that arrives now would be started.
func (e *Engine) queued(now time.Time) time.Duration {
	return max(0, e.busyUntil.Sub(now))
}

// serve takes a request and returns how much of it was cached and when its first token comes.
func (e *Engine) serve(now time.Time, request Arrival, costs Costs) (int, time.Time) {
	cached := e.match(request.Chain)
	e.store(request.Chain)
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(costs.service(request.Tokens - cached*lrprefix.PieceTokens))
	return cached, e.busyUntil
}

// Costs are the times that work takes on an engine.
type Costs struct {
	PrefillPerToken time.Duration
	// PerRequest is the time that decoding an answer takes from the prefill of others.
	PerRequest time.Duration
}

// DefaultCosts returns the costs of an engine that computes a piece in a fifth of a second.
func DefaultCosts() Costs {
	return Costs{PrefillPerToken: 100 * time.Microsecond, PerRequest: 20 * time.Millisecond}
}

func (c Costs) service(tokens int) time.Duration {
	return c.PerRequest + time.Duration(tokens)*c.PrefillPerToken
}
