// Package lrlease lets one instance at a time hold a named lease in the platform. The number of the lease rises with
// each holder and serves as the fencing number of what the holder does.
package lrlease

import "time"

// Lease is the value of a lease object. No times stand in it, since clocks of instances differ: a contender waits until
// it has seen the object unchanged for the validity.
type Lease struct {
	// Holder is the instance that has the lease. It is empty when the lease was handed back.
	Holder string `json:"holder"`
	// Nonce tells a lost reply from a lost write.
	Nonce string `json:"nonce"`
	// Fence rises with each holder.
	Fence uint64 `json:"fence"`
	// ValidMillis is how long the lease lasts after each renewal, in milliseconds.
	ValidMillis int64 `json:"validMillis"`
}

// WithHolder returns the lease of the next holder.
func (l Lease) WithHolder(holder, nonce string, validity time.Duration) Lease {
	return Lease{Holder: holder, Nonce: nonce, Fence: l.Fence + 1, ValidMillis: validity.Milliseconds()}
}

// WithRenewal returns the lease renewed by its holder.
func (l Lease) WithRenewal(nonce string) Lease {
	l.Nonce = nonce
	return l
}

// WithoutHolder returns the lease handed back.
func (l Lease) WithoutHolder(nonce string) Lease {
	l.Holder, l.Nonce = "", nonce
	return l
}

// Validity returns how long the lease lasts after each renewal.
func (l Lease) Validity() time.Duration { return time.Duration(l.ValidMillis) * time.Millisecond }
