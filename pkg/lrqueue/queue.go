// Package lrqueue orders waiting requests by priority and, within a priority, fairly over the client accounts, so that no
// account starves another. The work of a request is measured in tokens.
package lrqueue

import (
	"context"
	"time"
)

// An Entry is one waiting request.
type Entry struct {
	Account string
	// Priority orders requests. The higher value is served first.
	Priority int
	// Tokens is the amount of work of the request.
	Tokens int
}

// A Queue admits requests in a fair order. It is safe for use by several goroutines.
type Queue interface {
	// Enter waits until the request may be dispatched. It returns an error of kind lrerror.KindOverloaded when the request
	// cannot be served in time. Otherwise it returns a function that must be called when the request has ended.
	Enter(ctx context.Context, now time.Time, entry Entry) (release func(now time.Time), err error)
}
