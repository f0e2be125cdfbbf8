// Package lrlimit decides how many tokens a client account may use, so that its rate and burst hold over all instances.
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

// WithTokens returns the bucket with the tokens added, or taken away when negative.
func (b Bucket) WithTokens(tokens float64) Bucket {
	b.tokens = min(b.tokens+tokens, b.burst)
	return b
}

// WithTime returns the bucket refilled up to the present time. A time before the last refill changes nothing.
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

// Wait returns how long the bucket needs until it holds the tokens, or a negative duration when it never can.
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
