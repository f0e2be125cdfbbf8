package lrmember

import (
	"cmp"
	"maps"
	"slices"
)

// Rumors are pieces of news, each of which is handed out a bounded number of times. Fresh news go first.
type Rumors[K cmp.Ordered, V any] struct {
	pending map[K]*rumor[V]
}

type rumor[V any] struct {
	value V
	sent  int
}

// NewRumors returns an empty set of news.
func NewRumors[K cmp.Ordered, V any]() *Rumors[K, V] {
	return &Rumors[K, V]{pending: map[K]*rumor[V]{}}
}

// Put adds news under the key in place of older news of it.
func (r *Rumors[K, V]) Put(key K, value V) { r.pending[key] = &rumor[V]{value: value} }

// Len returns the number of pieces of news that are still handed out.
func (r *Rumors[K, V]) Len() int { return len(r.pending) }

// Take hands out at most limit pieces of news and forgets those that it has handed out the given number of times.
func (r *Rumors[K, V]) Take(limit, times int) []V {
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
