// Package lrplatform is the client of the platform, the outside store of versioned objects with conditional updates and
// watches. The platform is the only place where data outlives an instance. It also lists the running instances. The
// package contains an HTTP client, an in-memory implementation and a wrapper that injects faults for tests.
package lrplatform

import "context"

// The kinds of object that lavenderrouter keeps in the platform.
const (
	// KindHead holds the one configuration head, under the name HeadName.
	KindHead = "configHeads"
	// KindShard holds configuration shards, each under its digest.
	KindShard = "configShards"
	// KindAudit holds the audit trail, each entry under its version and write identifier.
	KindAudit = "auditEntries"
	// KindPaid holds the records of paid actions.
	KindPaid = "paidActions"
	// KindLease holds the leases that instances acquire.
	KindLease = "leases"
	// KindView holds the membership views from which the home of each client account is computed. The home is the
	// instance that owns the token bucket of the account.
	KindView = "views"
	// KindStatus holds the status reports of instances.
	KindStatus = "statuses"
	// KindQuarantine holds the digests of requests that crash engines.
	KindQuarantine = "quarantines"
)

// HeadName is the name of the one configuration head.
const HeadName = "head"

// MaxValueBytes is the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// FirstEra is the era of a store that has never come back from an older copy.
const FirstEra uint64 = 1

// An Object is one versioned value in the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version changes with every write of the object. A deleted object has version zero.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Era is the era of the store in which the object was read or written. Where it differs, equal versions may belong to different
	// contents. It is zero where the store names none.
	Era uint64 `json:"-"`
}

// WithValue returns the object with another value, ready for a conditional update.
func (o Object) WithValue(value []byte) Object {
	o.Value = value
	return o
}

// Objects reads and writes single objects. Its errors belong to the classes of this package.
type Objects interface {
	// Get returns the object, or an ErrNotFound with an object that has nothing but the era.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. It returns an ErrConflict when the object exists.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update writes the object if its version is still the stored one, and returns an ErrConflict otherwise.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its version is still the stored one, and returns an ErrConflict otherwise.
	Delete(ctx context.Context, object Object) error
}

// A Store keeps versioned objects. Its errors belong to the classes of this package.
type Store interface {
	Objects
	// List returns the objects of the kind whose names start with the prefix, ordered by name.
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	// Watch blocks until objects of the kind have changed after the revision, or until the context ends.
	Watch(ctx context.Context, kind string, after uint64) (Changes, error)
}

// Changes are the objects that changed since a revision. A deleted object has version zero.
type Changes struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// A Directory lists the instances that the platform knows. The list may be stale.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// A Platform is the part of the platform's API that lavenderrouter uses.
type Platform interface {
	Store
	Directory
}
