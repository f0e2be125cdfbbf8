package lrlimit

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// firstLevel is the time whose refill an instance starts with when no other instance can tell it the level.
const firstLevel = time.Second

// Shared admits requests on one bucket a client account that all instances keep alike: each tells the others what it
// has used in all. An instance that reaches only some of the others keeps to their part of the rate and burst, so that
// both sides of a cut together stay within the whole. It is safe for use by several goroutines.
type Shared struct {
	mutex    sync.Mutex
	accounts map[string]*sharedAccount
	share    float64
	// source is who tells what all others have used, and heard what it last told.
	source string
	heard  map[string]float64
	// isFull makes buckets start full, since no instance has used anything yet.
	isFull bool
	// isApart tells that the instance uses its own part alone, so that the use of others is not charged.
	isApart bool
}

type sharedAccount struct {
	bucket Bucket
	rate   float64
	burst  float64
	used   float64
}

// hasLimits reports whether a request has told the limits. Before that only the level is known, from another instance.
func (a *sharedAccount) hasLimits() bool { return a.burst > 0 }

// NewShared returns a Shared limiter. With full, all buckets start full: nothing has been used by any instance.
func NewShared(full bool) *Shared {
	return &Shared{accounts: map[string]*sharedAccount{}, share: 1, isFull: full}
}

// SetShare sets the part of all limits that this instance and those it reaches may use. What is left in the buckets is
// divided and joined in the same proportion.
func (s *Shared) SetShare(now time.Time, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isApart = false
	if share == s.share || share <= 0 {
		return
	}
	for _, a := range s.accounts {
		level := a.bucket.WithTime(now).Tokens()
		if a.hasLimits() {
			a.bucket = a.bucket.WithLimits(now, a.rate*share, a.burst*share)
		}
		if level > 0 {
			a.bucket = a.bucket.WithTokens(level*share/s.share - a.bucket.Tokens())
		}
	}
	s.share = share
}

// Share returns the part of all limits that this instance and those it reaches may use.
func (s *Shared) Share() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.share
}

// StartWith sets the part of all limits that this instance may use while it has not heard what is left in the buckets. What is
// left in its own ones stays as it is: nobody brings what the others have. What others use is not charged to an instance that is
// apart, since each of them has a part of its own.
func (s *Shared) StartWith(now time.Time, share float64, isApart bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isApart = isApart
	if share == s.share || share <= 0 {
		return
	}
	for _, a := range s.accounts {
		if a.hasLimits() {
			a.bucket = a.bucket.WithLimits(now, a.rate*share, a.burst*share)
		}
	}
	s.share = share
}

// An OverRateError says why an account may not use more tokens now.
type OverRateError struct {
	// Wait is the time until it may, or negative when it never can.
	Wait time.Duration
	// Level is what is left in the bucket.
	Level float64
	// Rate and Burst are the limits in force, of which Share is the part of the instances within reach.
	Rate  float64
	Burst float64
	Share float64
}

// Error returns the figures that decided.
func (e OverRateError) Error() string {
	return fmt.Sprintf("level %.0f, rate %.0f, burst %.0f, share %.2f", e.Level, e.Rate, e.Burst, e.Share)
}

// Reserve takes the tokens if the account may use them. Otherwise it says why not. A rate of zero means no limit.
func (s *Shared) Reserve(now time.Time, account string, rate, burst, tokens float64) (OverRateError, bool) {
	if rate <= 0 {
		return OverRateError{}, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(now, account, rate, burst)
	a.bucket = a.bucket.WithTime(now)
	need := min(tokens, a.bucket.burst)
	if a.bucket.Tokens() < need {
		return OverRateError{Wait: a.bucket.Wait(need), Level: a.bucket.Tokens(), Rate: rate, Burst: burst, Share: s.share}, false
	}
	a.bucket = a.bucket.WithTokens(-tokens)
	a.used += tokens
	return OverRateError{}, true
}

// Return gives back tokens of a request that did not run.
func (s *Shared) Return(account string, tokens float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return
	}
	a.bucket = a.bucket.WithTokens(tokens)
	a.used -= tokens
}

// Used returns what this instance has used of each account in all.
func (s *Shared) Used() map[string]float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	used := make(map[string]float64, len(s.accounts))
	for name, a := range s.accounts {
		used[name] = a.used
	}
	return used
}

// Levels returns the tokens left in each bucket of all instances, for one that has just started. Where only some instances are
// within reach, each side of the cut holds its part of them.
func (s *Shared) Levels(now time.Time) map[string]float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	levels := make(map[string]float64, len(s.accounts))
	for name, a := range s.accounts {
		levels[name] = a.bucket.WithTime(now).Tokens() / s.share
	}
	return levels
}

// Adopt takes over the levels that another instance has told.
func (s *Shared) Adopt(now time.Time, levels map[string]float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, level := range levels {
		a, ok := s.accounts[name]
		if !ok {
			a = &sharedAccount{bucket: NewBucket(now, 0, max(level, 0))}
			s.accounts[name] = a
		}
		level *= s.share
		a.bucket = a.bucket.WithTime(now)
		a.bucket.burst = max(a.bucket.burst, level)
		a.bucket = a.bucket.WithTokens(level - a.used - a.bucket.Tokens())
	}
}

// Heard takes in what all other instances within reach have used in all, as the source tells it. The first word of a
// source charges nothing, since sources count from different moments.
func (s *Shared) Heard(now time.Time, source string, used map[string]float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, isNew := s.heard, s.source != source || s.heard == nil
	s.source, s.heard = source, maps.Clone(used)
	if isNew || s.isApart {
		return
	}
	for name, total := range used {
		delta := total - before[name]
		a, ok := s.accounts[name]
		if !ok || delta == 0 {
			continue
		}
		a.bucket = a.bucket.WithTime(now).WithTokens(-delta)
	}
}

// Lost notes that no other instance is within reach.
func (s *Shared) Lost() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.source, s.heard = "", nil
}

// account returns the account with the limits in force. It must be called with the mutex held.
func (s *Shared) account(now time.Time, name string, rate, burst float64) *sharedAccount {
	a, ok := s.accounts[name]
	if !ok {
		a = &sharedAccount{bucket: NewBucket(now, rate*s.share, burst*s.share)}
		start := min(firstLevel.Seconds()*rate, burst)
		if s.isFull {
			start = burst
		}
		a.bucket = a.bucket.WithTokens(start * s.share)
		s.accounts[name] = a
	}
	if a.rate != rate || a.burst != burst {
		a.rate, a.burst = rate, burst
		a.bucket = a.bucket.WithLimits(now, rate*s.share, burst*s.share)
	}
	return a
}
