// Package lrqueue orders waiting requests, so that no client account starves another.
package lrqueue

import (
	"context"
	"time"
)

// An Entry is one waiting request.
type Entry struct {
	Account string
	// Priority orders requests. The higher value goes first.
	Priority int
	// Tokens is the work of the request.
	Tokens int
}

// A Queue admits requests in a fair order. It is safe for use by several goroutines.
type Queue interface {
	// Enter waits until the request may be dispatched. It returns an error of kind lrerror.KindOverloaded when the
	// request cannot be served in time, and the function that must be called when the request has ended otherwise.
	Enter(ctx context.Context, now time.Time, entry Entry) (release func(now time.Time), err error)
}
