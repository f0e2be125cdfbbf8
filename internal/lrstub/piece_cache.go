package lrstub

import (
	"container/list"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const maxCacheEvents = 100000

// pieceCache is the prefix cache of an engine: pieces with eviction of the least recently used one.
type pieceCache struct {
	room   int
	order  *list.List
	pieces map[lrprefix.ID]*list.Element
	events []lrengine.CacheEvent
	next   uint64
}

func newPieceCache(room int) *pieceCache {
	return &pieceCache{room: room, order: list.New(), pieces: map[lrprefix.ID]*list.Element{}}
}

// match returns the number of leading pieces that are cached, and marks them as used.
func (c *pieceCache) match(chain []lrprefix.ID) int {
	for n, id := range chain {
		element, ok := c.pieces[id]
		if !ok {
			return n
		}
		c.order.MoveToFront(element)
	}
	return len(chain)
}

// store puts the pieces into the cache and returns those that were not in it.
func (c *pieceCache) store(chain []lrprefix.ID) []lrprefix.ID {
	var stored []lrprefix.ID
	for _, id := range chain {
		element, ok := c.pieces[id]
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.pieces[id] = c.order.PushFront(id)
		c.record(id, true)
		stored = append(stored, id)
	}
	for c.order.Len() > c.room {
		oldest := c.order.Back()
		id, _ := c.order.Remove(oldest).(lrprefix.ID)
		delete(c.pieces, id)
		c.record(id, false)
	}
	return stored
}

func (c *pieceCache) record(id lrprefix.ID, stored bool) {
	c.events = append(c.events, lrengine.CacheEvent{Sequence: c.next, Piece: id.String(), Stored: stored})
	c.next++
	if len(c.events) > maxCacheEvents {
		c.events = c.events[maxCacheEvents/2:]
	}
}

// since returns the events from the sequence on that are still kept.
func (c *pieceCache) since(from uint64) []lrengine.CacheEvent {
	first := c.next - uint64(len(c.events))
	if from < first {
		from = first
	}
	if from >= c.next {
		return nil
	}
	return c.events[from-first:]
}
