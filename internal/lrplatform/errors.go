package lrplatform

import "github.com/zeebo/errs"

// The classes of failure of the platform.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errs.Class("platform: not found")
	// ErrConflict means that the object has changed or exists already. Read it again and redo the change.
	ErrConflict = errs.Class("platform: conflict")
	// ErrUnavailable means that the platform has not taken the call. Retry later.
	ErrUnavailable = errs.Class("platform: unavailable")
	// ErrUnknown means that a write may or may not have taken effect. Read the object to find out.
	ErrUnknown = errs.Class("platform: outcome unknown")
	// ErrInvalid means that the platform refuses the call for good.
	ErrInvalid = errs.Class("platform: invalid")
)
