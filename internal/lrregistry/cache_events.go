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
	// maxStartupEngines is the most engines whose caches an instance reads when it starts.
	maxStartupEngines = 24
	// maxEventEngines is the number of engines above which no cache events are read: an instance could neither receive the
	// events of so many engines nor send them to the others.
	maxEventEngines = 64
	// maxEvents is the number of events in one read above which the engine's events are not read for eventPause.
	maxEvents  = 512
	eventPause = time.Hour
	// maxUpdateBlocks is the most stored blocks, and the most evicted ones, of one engine in one update.
	maxUpdateBlocks        = 256
	maxPendingCacheUpdates = 64
	eventInterval          = 500 * time.Millisecond
	eventTimeout           = time.Second
)

// A CacheUpdateConsumer applies what cache events report of one engine's cache.
type CacheUpdateConsumer interface {
	ApplyCacheUpdate(now time.Time, update lrroute.CacheUpdate)
}

// WithCacheUpdates makes the registry read the cache events of this instance's share of the engines.
func WithCacheUpdates(consumer CacheUpdateConsumer) Option {
	return func(r *Registry) { r.cacheUpdateConsumer = consumer }
}

// cursor is the position from which the cache events of an engine are unread.
type cursor struct {
	incarnation string
	next        uint64
	pausedUntil time.Time
}

// ReadCacheEvents reads the cache events of this instance's share of the engines. The first call reads the events of up
// to maxStartupEngines engines, so that the instance knows from the start which prompt prefixes are cached where.
func (r *Registry) ReadCacheEvents(ctx context.Context, now time.Time) {
	if r.cacheUpdateConsumer == nil {
		return
	}
	first, due := r.cacheReadDue(now)
	if !due {
		return
	}
	names := r.Share()
	if first {
		names = r.nearestEngines(maxStartupEngines)
	}
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(parallelLoads)
	for _, name := range names {
		group.Go(func() error {
			r.readCacheEvents(ctx, now, name, !first)
			return nil
		})
	}
	_ = group.Wait()
}

// cacheReadDue reports whether this is the first read, and whether a read is due.
func (r *Registry) cacheReadDue(now time.Time) (first, due bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.engines) == 0 || len(r.engines) > maxEventEngines || now.Before(r.cacheReadDueAt) {
		return false, false
	}
	first = r.cacheReadDueAt.IsZero()
	r.cacheReadDueAt = now.Add(eventInterval)
	return first, true
}

// nearestEngines returns at most limit engines, those of this instance's zone first.
func (r *Registry) nearestEngines(limit int) []string {
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

func (r *Registry) readCacheEvents(ctx context.Context, now time.Time, name string, share bool) {
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
	update := summarizeEvents(name, batch)
	r.mutex.Lock()
	r.cursors[name] = c
	if share && len(update.Stored)+len(update.Evicted) > 0 && len(r.cacheUpdates) < maxPendingCacheUpdates {
		r.cacheUpdates = append(r.cacheUpdates, update)
	}
	r.mutex.Unlock()
	r.cacheUpdateConsumer.ApplyCacheUpdate(now, update)
}

// summarizeEvents reduces the events to the latest state of each block: stored or evicted. The latest blocks come first.
func summarizeEvents(name string, batch lrengine.EventBatch) lrroute.CacheUpdate {
	update := lrroute.CacheUpdate{Engine: name, Incarnation: batch.Incarnation}
	seen := map[string]bool{}
	for n := len(batch.Events) - 1; n >= 0; n-- {
		e := batch.Events[n]
		id, ok := lrprefix.ParseID(e.Block)
		if seen[e.Block] || !ok {
			continue
		}
		seen[e.Block] = true
		switch {
		case e.Stored && len(update.Stored) < maxUpdateBlocks:
			update.Stored = append(update.Stored, id)
		case !e.Stored && len(update.Evicted) < maxUpdateBlocks:
			update.Evicted = append(update.Evicted, id)
		}
	}
	return update
}

// TakeCacheUpdates returns the changes that cache events have reported since the last call, to be sent to the other
// instances.
func (r *Registry) TakeCacheUpdates() []lrroute.CacheUpdate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cacheUpdates := r.cacheUpdates
	r.cacheUpdates = nil
	return cacheUpdates
}
