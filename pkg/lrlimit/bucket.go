// Package lrlimit limits the tokens that client accounts use, so that each account's rate and burst hold over all instances
// of the router together.
//
// It has three limiters. NewLocal gives an instance a fixed share of each account's limits. Shared is one token bucket per
// account that all instances replicate by reporting to each other what they have used. The home-based limiter (Home, Homes,
// HomeLease, Account and Holding) never admits more than the rate and the burst in any window of time.
//
// In the home-based limiter the home of an account is the instance that owns the account's token bucket, called its pool.
// Each availability zone has its own home for an account. It is found by rendezvous hashing, a form of consistent hashing,
// over the members of the zone's view, a numbered list of instances. Other instances report their use to a home and receive
// grants: tokens that they may use until the grant's validity has ended. What an instance holds of an account from one home
// is a holding. A credit refunds tokens that were reported as used but were not. It carries the mark of the answer to that
// report, a number by which the home knows since when those tokens have counted as used.
package lrlimit

import "time"

// A Bucket is a token bucket. The zero Bucket is empty and never fills.
type Bucket struct {
	rate    float64
	burst   float64
	tokens  float64
	updated time.Time
}

// NewBucket returns an empty bucket that fills at rate tokens a second up to burst tokens.
func NewBucket(now time.Time, rate, burst float64) Bucket {
	return Bucket{rate: rate, burst: burst, updated: now}
}

// WithLimits returns the bucket with another rate and burst. Tokens above the new burst are lost.
func (b Bucket) WithLimits(now time.Time, rate, burst float64) Bucket {
	b = b.WithTime(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
	return b
}

// WithTokens returns the bucket with the tokens added, or removed when negative. Tokens above the burst are lost.
func (b Bucket) WithTokens(tokens float64) Bucket {
	b.tokens = min(b.tokens+tokens, b.burst)
	return b
}

// WithTime returns the bucket refilled up to now. A time before the last refill changes nothing.
func (b Bucket) WithTime(now time.Time) Bucket {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return b
	}
	b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.burst)
	b.updated = now
	return b
}

// Tokens returns the tokens available at the last refill.
func (b Bucket) Tokens() float64 { return b.tokens }

// Wait returns how long the bucket takes to refill to the tokens, or a negative duration when it never can.
func (b Bucket) Wait(tokens float64) time.Duration {
	missing := tokens - b.tokens
	switch {
	case missing <= 0:
		return 0
	case tokens > b.burst || b.rate <= 0:
		return -1
	default:
		return time.Duration(missing / b.rate * float64(time.Second))
	}
}
