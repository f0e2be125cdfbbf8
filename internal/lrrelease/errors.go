package lrrelease

import "github.com/zeebo/errs"

var (
	// ErrSuperseded means that the state was decided on an entry that has changed since. Nothing was stored.
	ErrSuperseded = errs.Class("the entry has changed, wait for the list")
	// ErrLeaseLost means that another instance may hold the lease. Nothing was stored.
	ErrLeaseLost = errs.Class("another instance may decide now")
)
