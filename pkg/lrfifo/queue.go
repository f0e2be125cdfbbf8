// Package lrfifo provides a bounded queue between goroutines that rejects items when it is full.
package lrfifo

import (
	"context"
	"sync/atomic"
)

// A Queue is a bounded first-in, first-out queue. A full queue rejects new items instead of blocking the sender.
type Queue[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a Ring that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Push adds an item and reports whether the queue had capacity for it.
func (r *Queue[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Pop returns the oldest item. It blocks until there is one or the context is done.
func (r *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Len returns the number of queued items.
func (r *Queue[T]) Len() int { return len(r.items) }

// Rejected returns the number of items that were rejected because the queue was full.
func (r *Queue[T]) Rejected() uint64 { return r.refused.Load() }
