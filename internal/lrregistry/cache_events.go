package lrregistry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	// startEngines bounds the engines whose caches an instance reads when it starts.
	startEngines = 24
	// maxEventEngines is the number of engines above which no cache events are read: before so many, an instance could
	// neither hear them nor tell them to the others.
	maxEventEngines = 64
	// maxEvents is the number of events at one reading above which an engine's events are left unread for a while.
	maxEvents  = 512
	eventPause = time.Hour
	// maxPieces bounds the pieces of one engine that are told to others at once.
	maxPieces     = 256
	holdingsRoom  = 64
	eventInterval = 500 * time.Millisecond
	eventTimeout  = time.Second
)

// A HoldingTaker takes in what cache events told of one engine.
type HoldingTaker interface {
	ApplyHolding(now time.Time, holding lrroute.Holding)
}

// WithHoldings makes the registry read the cache events of this instance's share of the engines.
func WithHoldings(taker HoldingTaker) Option {
	return func(r *Registry) { r.holdingTaker = taker }
}

// cursor says from where on the cache events of an engine are unread.
type cursor struct {
	incarnation string
	next        uint64
	pausedUntil time.Time
}

// RefreshHoldings reads the cache events of this instance's share of the engines. The first call reads the caches of
// as many engines as an instance may ask, so that it knows at once where prompts are held.
func (r *Registry) RefreshHoldings(ctx context.Context, now time.Time) {
	if r.holdingTaker == nil {
		return
	}
	first, due := r.holdingsDue(now)
	if !due {
		return
	}
	names := r.Share()
	if first {
		names = r.nearEngines(startEngines)
	}
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(parallelLoads)
	for _, name := range names {
		group.Go(func() error {
			r.refreshHolding(ctx, now, name, !first)
			return nil
		})
	}
	_ = group.Wait()
}

// holdingsDue reports whether this is the first reading, and whether one is due.
func (r *Registry) holdingsDue(now time.Time) (first, due bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.engines) == 0 || len(r.engines) > maxEventEngines || now.Before(r.holdingsDueAt) {
		return false, false
	}
	first = r.holdingsDueAt.IsZero()
	r.holdingsDueAt = now.Add(eventInterval)
	return first, true
}

// nearEngines returns at most limit engines, those of the own zone first.
func (r *Registry) nearEngines(limit int) []string {
	var near, far []string
	for _, s := range r.Servers(lrplatform.RoleEngine) {
		if s.Zone == r.zone {
			near = append(near, s.Name)
		} else {
			far = append(far, s.Name)
		}
	}
	near = append(near, far...)
	return near[:min(limit, len(near))]
}

func (r *Registry) refreshHolding(ctx context.Context, now time.Time, name string, share bool) {
	engine, ok := r.Engine(name)
	r.mutex.RLock()
	c := r.cursors[name]
	r.mutex.RUnlock()
	if !ok || now.Before(c.pausedUntil) {
		return
	}
	batch, err := engine.Events(ctx, c.next)
	if err == nil && batch.Incarnation != c.incarnation && c.next > 0 {
		batch, err = engine.Events(ctx, 0)
	}
	if err != nil {
		return
	}
	c.incarnation, c.next = batch.Incarnation, batch.Next
	if len(batch.Events) > maxEvents {
		c.pausedUntil = now.Add(eventPause)
	}
	holding := summarize(name, batch)
	r.mutex.Lock()
	r.cursors[name] = c
	if share && len(holding.Stored)+len(holding.Evicted) > 0 && len(r.holdings) < holdingsRoom {
		r.holdings = append(r.holdings, holding)
	}
	r.mutex.Unlock()
	r.holdingTaker.ApplyHolding(now, holding)
}

// summarize reduces events to the pieces that are held in the end and those that are not, the latest ones.
func summarize(name string, batch lrengine.EventBatch) lrroute.Holding {
	holding := lrroute.Holding{Engine: name, Incarnation: batch.Incarnation}
	seen := map[string]bool{}
	for n := len(batch.Events) - 1; n >= 0; n-- {
		e := batch.Events[n]
		id, ok := lrprefix.ParseID(e.Piece)
		if seen[e.Piece] || !ok {
			continue
		}
		seen[e.Piece] = true
		switch {
		case e.Stored && len(holding.Stored) < maxPieces:
			holding.Stored = append(holding.Stored, id)
		case !e.Stored && len(holding.Evicted) < maxPieces:
			holding.Evicted = append(holding.Evicted, id)
		}
	}
	return holding
}

// TakeHoldings returns what cache events told since the last call, for the other instances.
func (r *Registry) TakeHoldings() []lrroute.Holding {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	holdings := r.holdings
	r.holdings = nil
	return holdings
}
