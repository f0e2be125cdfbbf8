package lrlimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// coldStartTime is the time whose refill a new bucket starts with when no other instance can report its level.
const coldStartTime = time.Second

// SharedLimiter admits requests on one token bucket per client account that all instances replicate: each reports to the others the
// total of what it has used. An instance that reaches only some of the others keeps to their share of the rate and burst, so
// that both sides of a partition together stay within the limits. It is safe for use by several goroutines.
type SharedLimiter struct {
	mutex    sync.Mutex
	accounts map[string]*sharedAccount
	share    float64
	// usageSource identifies the sender of the reported use of all other instances, and lastUsage is what it last reported.
	usageSource string
	lastUsage   map[string]float64
	// startsFull makes buckets start full, since no instance has used anything yet.
	startsFull bool
	// ownShareOnly is set while the instance uses only its own share, so that the use of others is not charged.
	ownShareOnly bool
	// fleet is what is known of the other instances, and withDemand the accounts for which they reported demand.
	fleet      fleetView
	withDemand []string
	// inUse holds the accounts with recent requests here.
	inUse  map[string]*sharedAccount
	random *rand.Rand
}

type sharedAccount struct {
	bucket Bucket
	rate   float64
	burst  float64
	used   float64
	part   part
	// isUnseen is set while only other instances have had requests of the account.
	isUnseen bool
}

// hasLimits reports whether a request has set the limits. Before that only the level is known, from another instance.
func (a *sharedAccount) hasLimits() bool { return a.burst > 0 }

// NewSharedLimiter returns a Shared limiter. With startsFull, all buckets start full, since no instance has used any tokens yet.
func NewSharedLimiter(startsFull bool) *SharedLimiter {
	return newSharedLimiter(startsFull, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

func newSharedLimiter(startsFull bool, random *rand.Rand) *SharedLimiter {
	return &SharedLimiter{
		accounts: map[string]*sharedAccount{}, share: 1, startsFull: startsFull, fleet: fleetView{instances: 1},
		inUse: map[string]*sharedAccount{}, random: random,
	}
}

// SetShare sets the share of all limits that this instance and those it reaches may use. Positive levels of the buckets are
// scaled in the same proportion.
func (s *SharedLimiter) SetShare(now time.Time, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ownShareOnly = false
	if share == s.share || share <= 0 {
		return
	}
	for _, a := range s.accounts {
		level := a.bucket.WithTime(now).Tokens()
		if a.hasLimits() {
			a.bucket = a.bucket.WithLimits(now, a.rate*share, a.burst*share)
		}
		unheard := 0.0
		if share < s.share && s.fleet.instances > 1 {
			unheard = a.part.unheard(now)
		}
		if level+unheard > 0 {
			level = (level+unheard)*share/s.share - unheard
			a.bucket = a.bucket.WithTokens(level - a.bucket.Tokens())
		}
	}
	s.share = share
}

// Share returns the share of all limits that this instance and those it reaches may use.
func (s *SharedLimiter) Share() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.share
}

// SetStartupShare sets the share of all limits that this instance may use until it receives the levels of the buckets. The levels
// of its own buckets are not scaled, since no other instance contributes its tokens. With ownShareOnly, the use of others is
// not charged, since each of them has a share of its own.
func (s *SharedLimiter) SetStartupShare(now time.Time, share float64, ownShareOnly bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ownShareOnly = ownShareOnly
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
	// Level is the number of tokens left in the bucket.
	Level float64
	// Rate and Burst are the limits in effect, of which Share is the share of the instances within reach.
	Rate  float64
	Burst float64
	Share float64
	// Pace is the part of the demand that the level suffices for, as far as this instance knows, or one where the level is below the request.
	Pace float64
}

// Error returns the level, the limits, the share and the pace that led to the refusal.
func (e OverRateError) Error() string {
	return fmt.Sprintf("level %.0f, rate %.0f, burst %.0f, share %.2f, pace %.2f", e.Level, e.Rate, e.Burst, e.Share, e.Pace)
}

// Reserve takes the tokens if the account may use them. Otherwise it returns the reason and false. A rate of zero means no
// limit.
func (s *SharedLimiter) Reserve(now time.Time, account string, rate, burst, tokens float64) (OverRateError, bool) {
	if rate <= 0 {
		return OverRateError{}, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(now, account, rate, burst)
	a.bucket = a.bucket.WithTime(now)
	// The use of others that is not reported yet makes room for as much refill.
	a.bucket.burst = burst*s.share + a.part.unreported(s.fleet, a.bucket.rate)
	a.bucket = a.bucket.WithTokens(0)
	a.part.offer(now, tokens)
	s.inUse[account] = a
	need := min(tokens, burst*s.share)
	refusal := OverRateError{Wait: a.bucket.Wait(need), Level: a.bucket.Tokens(), Rate: rate, Burst: burst, Share: s.share, Pace: 1}
	if a.bucket.Tokens() < need {
		return refusal, false
	}
	decision := a.part.decide(now, s.fleet, a.bucket, need, s.random.Float64())
	a.part.record(now, span{paid: decision.paid})
	if !decision.admitted {
		refusal.Wait, refusal.Pace = decision.wait, decision.pace
		return refusal, false
	}
	a.bucket = a.bucket.WithTokens(-tokens)
	a.used += tokens
	a.part.record(now, span{used: tokens})
	return OverRateError{}, true
}

// Return refunds the tokens of a request that did not run.
func (s *SharedLimiter) Return(account string, tokens float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return
	}
	a.bucket = a.bucket.WithTokens(tokens)
	a.used -= tokens
	a.part.returned += tokens
}

// Used returns the total tokens that this instance has used of each account.
func (s *SharedLimiter) Used() map[string]float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	used := make(map[string]float64, len(s.accounts))
	for name, a := range s.accounts {
		if a.used != 0 {
			used[name] = a.used
		}
	}
	return used
}

// Levels returns the tokens left in each account's bucket over all instances, for an instance that has just started. Where
// only some instances are within reach, each side of the partition has its share of them.
func (s *SharedLimiter) Levels(now time.Time) map[string]float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	levels := make(map[string]float64, len(s.accounts))
	for name, a := range s.accounts {
		if !a.isUnseen {
			levels[name] = a.bucket.WithTime(now).Tokens() / s.share
		}
	}
	return levels
}

// ApplyLevels applies the levels that another instance has sent.
func (s *SharedLimiter) ApplyLevels(now time.Time, levels map[string]float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, level := range levels {
		a, ok := s.accounts[name]
		if !ok {
			a = &sharedAccount{bucket: NewBucket(now, 0, max(level, 0))}
			s.accounts[name] = a
		}
		a.isUnseen = false
		level *= s.share
		a.bucket = a.bucket.WithTime(now)
		a.bucket.burst = max(a.bucket.burst, level)
		a.bucket = a.bucket.WithTokens(level - a.used - a.bucket.Tokens())
	}
}

// ApplyUsage applies the total use of all other instances within reach, as reported by the source. The first report of a source
// is only a baseline and charges nothing, since sources count from different moments.
func (s *SharedLimiter) ApplyUsage(now time.Time, source string, used map[string]float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, isNew := s.lastUsage, s.usageSource != source || s.lastUsage == nil
	s.usageSource, s.lastUsage = source, maps.Clone(used)
	if isNew || s.ownShareOnly {
		return
	}
	for name, total := range used {
		delta := total - before[name]
		a, ok := s.accounts[name]
		if !ok || delta == 0 {
			continue
		}
		a.bucket = a.bucket.WithTime(now).WithTokens(-delta)
		if a.isUnseen || a.part.recent != nil {
			a.part.record(now, span{heard: delta})
		}
	}
}

// ResetUsage records that no other instance is within reach. The next report is a baseline again.
func (s *SharedLimiter) ResetUsage() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.usageSource, s.lastUsage = "", nil
}

// account returns the account with the limits in effect. It must be called with the mutex held.
func (s *SharedLimiter) account(now time.Time, name string, rate, burst float64) *sharedAccount {
	a, ok := s.accounts[name]
	if !ok {
		a = &sharedAccount{isUnseen: true}
		s.accounts[name] = a
	}
	if a.isUnseen {
		a.isUnseen = false
		a.bucket = NewBucket(now, rate*s.share, burst*s.share)
		start := min(coldStartTime.Seconds()*rate, burst)
		if s.startsFull {
			start = burst
		}
		a.bucket = a.bucket.WithTokens(min(start*s.share, a.part.startLevel(now, s.fleet, rate*s.share, burst*s.share)))
	}
	if a.rate != rate || a.burst != burst {
		a.rate, a.burst = rate, burst
		a.bucket = a.bucket.WithLimits(now, rate*s.share, burst*s.share)
	}
	return a
}
