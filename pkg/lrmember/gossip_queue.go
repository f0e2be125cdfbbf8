package lrmember

import (
	"cmp"
	"maps"
	"slices"
)

// A GossipQueue holds updates, each of which is sent a limited number of times. Those that were sent the fewest times go
// first.
type GossipQueue[K cmp.Ordered, V any] struct {
	pending map[K]*queuedUpdate[V]
}

type queuedUpdate[V any] struct {
	value V
	sent  int
}

// NewGossipQueue returns an empty queue.
func NewGossipQueue[K cmp.Ordered, V any]() *GossipQueue[K, V] {
	return &GossipQueue[K, V]{pending: map[K]*queuedUpdate[V]{}}
}

// Put queues an update under the key. It replaces an older one of the same key.
func (r *GossipQueue[K, V]) Put(key K, value V) { r.pending[key] = &queuedUpdate[V]{value: value} }

// Len returns the number of queued updates.
func (r *GossipQueue[K, V]) Len() int { return len(r.pending) }

// Take returns at most limit updates to send, and removes those that have now been returned the given number of times.
func (r *GossipQueue[K, V]) Take(limit, times int) []V {
	keys := slices.SortedFunc(maps.Keys(r.pending), func(a, b K) int {
		return cmp.Or(cmp.Compare(r.pending[a].sent, r.pending[b].sent), cmp.Compare(a, b))
	})
	keys = keys[:min(limit, len(keys))]
	values := make([]V, 0, len(keys))
	for _, k := range keys {
		pending := r.pending[k]
		values = append(values, pending.value)
		pending.sent++
		if pending.sent >= times {
			delete(r.pending, k)
		}
	}
	return values
}
