// Package lrretry decides whether, when and on which backend server failed work is retried: a budget bounds the number of
// retries, a backoff delays them, and an ejector takes failing servers out of use.
package lrretry

import "sync"

// A Budget bounds retries to a share of the first attempts, so that retries cannot amplify an outage. It is safe for use by
// several goroutines.
type Budget struct {
	share    float64
	capacity float64
	mutex    sync.Mutex
	tokens   float64
}

// NewBudget returns a full Budget. Each first attempt earns the given share of a retry, up to capacity retries.
func NewBudget(share, capacity float64) *Budget {
	return &Budget{share: share, capacity: capacity, tokens: capacity}
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.share, b.capacity)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
