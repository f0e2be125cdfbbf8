// Package lrlease provides named leases, each held by at most one instance at a time. A lease is an object in the platform
// that its holder renews by conditional updates. Its fencing number increases with each holder. A receiver that
// checks the number can reject the commands of an earlier holder.
package lrlease

import (
	"slices"
	"strings"
	"time"
)

// A Lease is the value of a lease object. It contains no times, since the clocks of instances differ: another instance may
// acquire the lease once it has seen the object unchanged for longer than the validity.
type Lease struct {
	// Holder identifies the instance that holds the lease. It is empty when the lease was released.
	Holder string `json:"holder"`
	// Nonce is unique to each write. After a failed write it shows whether the write was lost or only its reply.
	Nonce string `json:"nonce"`
	// Fence is the fencing number, which increases with each holder.
	Fence uint64 `json:"fence"`
	// ValidMillis is how long the lease lasts after each renewal, in milliseconds.
	ValidMillis int64 `json:"validMillis"`
	// RecentHolders are the instances that may have held the lease within the turn interval before the present holder, the latest last. It is
	// nil when they are unknown: earlier versions of the program do not write it.
	RecentHolders []string `json:"recentHolders"`
}

// firstLease returns the lease before its first holder.
func firstLease() Lease { return Lease{RecentHolders: []string{}} }

// instanceOf returns the name of the instance in the name of a holder, to which each process adds a suffix of its own.
func instanceOf(holder string) string {
	end := strings.LastIndexByte(holder, '/')
	if end < 0 {
		return holder
	}
	return holder[:end]
}

// holders returns the recent holders with the present one, the latest last. It returns nil when they are unknown.
func (l Lease) holders() []string {
	if l.Holder == "" || l.RecentHolders == nil {
		return l.RecentHolders
	}
	return appendLatest(l.RecentHolders, instanceOf(l.Holder))
}

// appendLatest returns the instances with the latest one at the end, each of them once.
func appendLatest(instances []string, latest string) []string {
	others := slices.DeleteFunc(slices.Clone(instances), func(name string) bool { return name == latest })
	return append(others, latest)
}

// WithHolder returns the lease with the next holder and an increased fencing number.
func (l Lease) WithHolder(holder, nonce string, validity time.Duration) Lease {
	return Lease{Holder: holder, Nonce: nonce, Fence: l.Fence + 1, ValidMillis: validity.Milliseconds(), RecentHolders: l.holders()}
}

// WithoutRecentHolders returns the lease of a holder that has held it for the turn interval, so that no other instance did so within it.
func (l Lease) WithoutRecentHolders() Lease {
	l.RecentHolders = []string{}
	return l
}

// WithUnknownHolders returns the lease without a record of who held it before.
func (l Lease) WithUnknownHolders() Lease {
	l.RecentHolders = nil
	return l
}

// WithFenceAbove returns the lease with a fencing number that is above the floor, and no lower than it is.
func (l Lease) WithFenceAbove(floor uint64) Lease {
	l.Fence = max(l.Fence, floor+1)
	return l
}

// WithRenewal returns the lease as renewed by its holder.
func (l Lease) WithRenewal(nonce string) Lease {
	l.Nonce = nonce
	return l
}

// WithoutHolder returns the lease as released by its holder.
func (l Lease) WithoutHolder(nonce string) Lease {
	l.RecentHolders = l.holders()
	l.Holder, l.Nonce = "", nonce
	return l
}

// Validity returns how long the lease lasts after each renewal.
func (l Lease) Validity() time.Duration { return time.Duration(l.ValidMillis) * time.Millisecond }
