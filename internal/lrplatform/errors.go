package lrplatform

import "github.com/zeebo/errs"

// The classes of platform errors.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errs.Class("platform: not found")
	// ErrConflict means that the object has changed or already exists. Read it again and repeat the change.
	ErrConflict = errs.Class("platform: conflict")
	// ErrUnavailable means that the call had no effect. It is retryable.
	ErrUnavailable = errs.Class("platform: unavailable")
	// ErrUnknown means that a write may or may not have taken effect. Read the object to learn the outcome.
	ErrUnknown = errs.Class("platform: outcome unknown")
	// ErrInvalid means that the platform rejects the call. It is not retryable.
	ErrInvalid = errs.Class("platform: invalid")
)
