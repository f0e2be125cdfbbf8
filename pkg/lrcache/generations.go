// Package lrcache provides a container of bounded size that drops the oldest entries first.
package lrcache

import "time"

// Limits bound a Generations container.
type Limits struct {
	// Entries is the most entries of a generation, of which there are two. Zero means no bound.
	Entries int
	// Age is how long a generation takes entries. Zero means no bound.
	Age time.Duration
}

// A Generations is a map that drops the oldest entries first. It holds two generations: entries are set in the current one, and when that is full
// or too old, it becomes the previous one, and what was the previous one is dropped. No call works on all entries. It is not safe for concurrent use.
//
// An entry is kept until Limits.Entries others have been set since, and for Limits.Age at least if they have not.
type Generations[K comparable, V any] struct {
	limits            Limits
	begunAt           time.Time
	current, previous map[K]V
}

// NewGenerations returns an empty container.
func NewGenerations[K comparable, V any](limits Limits) *Generations[K, V] {
	return &Generations[K, V]{limits: limits, current: map[K]V{}}
}

// Get returns the value of the key, and reports whether there is one.
func (g *Generations[K, V]) Get(key K) (V, bool) {
	value, ok := g.current[key]
	if !ok {
		value, ok = g.previous[key]
	}
	return value, ok
}

// Set sets the value of the key.
func (g *Generations[K, V]) Set(now time.Time, key K, value V) {
	isOld := g.limits.Age > 0 && now.Sub(g.begunAt) >= g.limits.Age
	isFull := g.limits.Entries > 0 && len(g.current) >= g.limits.Entries
	if isOld || isFull {
		g.previous, g.current, g.begunAt = g.current, map[K]V{}, now
	}
	g.current[key] = value
}

// Delete removes the key.
func (g *Generations[K, V]) Delete(key K) {
	delete(g.current, key)
	delete(g.previous, key)
}

// Len returns the number of entries of both generations. A key that is in both counts twice.
func (g *Generations[K, V]) Len() int { return len(g.current) + len(g.previous) }
