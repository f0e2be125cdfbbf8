package lrlease

import "github.com/zeebo/errs"

// ErrLost means that the lease is not held any more, although its validity has not ended: the store has another lease in its place.
var ErrLost = errs.Class("another instance may hold the lease, acquire it again")

// ErrTurn means that the lease is free, but that this instance held it a short time ago and another one has held it since.
var ErrTurn = errs.Class("the turn interval has not passed, wait")
