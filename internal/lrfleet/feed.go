package lrfleet

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// ErrHistoryGone means that changes were missed, so that the whole list must be read again.
var ErrHistoryGone = errs.Class("changes are no longer kept, read the whole list")

// Changes are the entries that changed up to a revision.
type Changes[T any] struct {
	Set     map[string]T
	Deleted []string
	// Revision is the platform's revision up to which changes are told.
	Revision uint64
	// Latest is the revision of the last change among them.
	Latest uint64
}

// A Feed delivers the entries of one kind from the platform.
type Feed[T any] interface {
	// List returns all entries.
	List(ctx context.Context) (Changes[T], error)
	// Watch waits until entries have changed after the revision. It returns an ErrHistoryGone when that cannot be told.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[T], error)
}
