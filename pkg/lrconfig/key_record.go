package lrconfig

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

// A KeyRecord is the stored form of a key. It holds no secret.
type KeyRecord struct {
	ID      string     `json:"id"`
	Account string     `json:"account"`
	Hash    lrkey.Hash `json:"hash"`
	// AddedAt is when the key was added.
	AddedAt time.Time `json:"addedAt"`
	// WithdrawnAt is when the key was withdrawn, or zero while the key is valid.
	WithdrawnAt time.Time `json:"withdrawnAt,omitzero"`
}

// Withdrawn reports whether the key has been withdrawn.
func (r KeyRecord) Withdrawn() bool { return !r.WithdrawnAt.IsZero() }

// WithWithdrawal returns the record of the key withdrawn at the given time.
func (r KeyRecord) WithWithdrawal(now time.Time) KeyRecord {
	r.WithdrawnAt = now
	return r
}
