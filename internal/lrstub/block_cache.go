package lrstub

import (
	"container/list"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const maxCacheEvents = 100000

// blockCache is the prefix cache of an engine: an LRU cache of blocks with a log of its changes.
type blockCache struct {
	capacity int
	recency  *list.List
	blocks   map[lrprefix.ID]*list.Element
	events   []lrengine.CacheEvent
	next     uint64
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, recency: list.New(), blocks: map[lrprefix.ID]*list.Element{}}
}

// match returns the number of leading blocks of the chain that are cached, and marks them as used.
func (c *blockCache) match(chain []lrprefix.ID) int {
	for n, id := range chain {
		element, ok := c.blocks[id]
		if !ok {
			return n
		}
		c.recency.MoveToFront(element)
	}
	return len(chain)
}

// store adds the blocks to the cache and returns those that were not in it.
func (c *blockCache) store(chain []lrprefix.ID) []lrprefix.ID {
	var stored []lrprefix.ID
	for _, id := range chain {
		element, ok := c.blocks[id]
		if ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[id] = c.recency.PushFront(id)
		c.record(id, true)
		stored = append(stored, id)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		id, _ := c.recency.Remove(oldest).(lrprefix.ID)
		delete(c.blocks, id)
		c.record(id, false)
	}
	return stored
}

func (c *blockCache) record(id lrprefix.ID, stored bool) {
	c.events = append(c.events, lrengine.CacheEvent{Sequence: c.next, Block: id.String(), Stored: stored})
	c.next++
	if len(c.events) > maxCacheEvents {
		c.events = c.events[maxCacheEvents/2:]
	}
}

// since returns the retained events from the sequence number on.
func (c *blockCache) since(from uint64) []lrengine.CacheEvent {
	first := c.next - uint64(len(c.events))
	if from < first {
		from = first
	}
	if from >= c.next {
		return nil
	}
	return c.events[from-first:]
}
