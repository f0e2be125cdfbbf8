// Package lrplatform reaches the platform's object API, which keeps everything that must outlive an instance.
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
	// KindLease holds leases.
	KindLease = "leases"
	// KindView holds the membership views on which the homes of client accounts rest.
	KindView = "views"
	// KindStatus holds what instances report of themselves.
	KindStatus = "statuses"
	// KindQuarantine holds the digests of requests that crash engines.
	KindQuarantine = "quarantines"
)

// HeadName is the name of the one configuration head.
const HeadName = "head"

// MaxValueBytes is the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// An Object is one versioned value in the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version changes with every write of the object. A deleted object has version zero.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// WithValue returns the object with another value, ready for a conditional update.
func (o Object) WithValue(value []byte) Object {
	o.Value = value
	return o
}

// Objects are read and written one by one. Its errors belong to the classes of this package.
type Objects interface {
	// Get returns the object, or an ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. It returns an ErrConflict when the object exists.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update writes the object if its version is still the stored one, and returns an ErrConflict otherwise.
	Update(ctx context.Context, object Object) (Object, error)
}

// A Store keeps versioned objects. Its errors belong to the classes of this package.
type Store interface {
	Objects
	// List returns the objects of the kind whose names start with the prefix, ordered by name.
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	// Delete removes the object if its version is still the stored one, and returns an ErrConflict otherwise.
	Delete(ctx context.Context, object Object) error
	// Watch waits until objects of the kind have changed after the revision, or the context ends.
	Watch(ctx context.Context, kind string, after uint64) (Changes, error)
}

// Changes are the objects that changed since a revision. A deleted object has version zero.
type Changes struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// A Directory lists the platform's instances. The list lags behind the truth.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// A Platform is everything that lavenderrouter uses of the platform.
type Platform interface {
	Store
	Directory
}
