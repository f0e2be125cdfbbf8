package lrfleet

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// ErrHistoryGone means that the platform no longer has all changes since the revision, so that all entries must be listed again.
var ErrHistoryGone = errs.Class("changes are no longer kept, read the whole list")

// ErrUnreadable means that the platform holds entries that cannot be decoded and of which this instance knows no earlier form.
var ErrUnreadable = errs.Class("entries cannot be read, write them again")

// Changes are the entries of a feed that were set or deleted up to a revision.
type Changes[T any] struct {
	Set     map[string]T
	Deleted []string
	// Unreadable are entries that the platform holds in a form that cannot be decoded. What is known of them stays in use.
	Unreadable []string
	// Revision is the revision of the platform up to which the changes are complete.
	Revision uint64
	// Era is the era of the platform's store in which it has counted the revision, or zero if the store names none.
	Era uint64
}

// A Feed reads the entries of one kind from the platform.
type Feed[T any] interface {
	// List returns all entries.
	List(ctx context.Context) (Changes[T], error)
	// Watch waits until entries change after the revision, at most for the given time. It returns ErrHistoryGone when the changes since
	// then are no longer available. Changes at an earlier revision mean that the platform has gone back.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[T], error)
}
