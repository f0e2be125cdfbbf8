package lrlimit

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// local keeps one token bucket per account, each with the share of its limits.
type local struct {
	share   float64
	mutex   sync.Mutex
	buckets map[string]Bucket
}

// NewLocal returns a Limiter that gives this instance a fixed share of each account's rate and burst.
func NewLocal(share float64) Limiter {
	return &local{share: share, buckets: map[string]Bucket{}}
}

func (l *local) Reserve(_ context.Context, now time.Time, request Request) (Reservation, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate, burst := request.Rate*l.share, request.Burst*l.share
	bucket, ok := l.buckets[request.Account]
	if !ok {
		bucket = NewBucket(now, rate, burst).WithTokens(burst)
	}
	bucket = bucket.WithLimits(now, rate, burst)
	wait := bucket.Wait(request.Tokens)
	if wait != 0 {
		l.buckets[request.Account] = bucket
		return nil, RateLimited(request.Account, wait)
	}
	l.buckets[request.Account] = bucket.WithTokens(-request.Tokens)
	return &localReservation{limiter: l, account: request.Account, tokens: request.Tokens}, nil
}

type localReservation struct {
	limiter *local
	account string
	tokens  float64
	once    sync.Once
}

func (r *localReservation) Settle(now time.Time, used float64) {
	r.once.Do(func() {
		r.limiter.mutex.Lock()
		defer r.limiter.mutex.Unlock()
		bucket := r.limiter.buckets[r.account].WithTime(now)
		r.limiter.buckets[r.account] = bucket.WithTokens(max(r.tokens-used, 0))
	})
}

// RateLimited returns the error for a request above the limits. A negative wait means that no retry can succeed.
func RateLimited(account string, wait time.Duration) error {
	if wait < 0 {
		return lrerror.New(lrerror.KindRateLimited, lrerror.NotRun,
			"the request asks for more tokens than the burst of client account %s; shorten the prompt or maxTokens, or ask for a larger plan", account)
	}
	return lrerror.New(lrerror.KindRateLimited, lrerror.NotRun,
		"client account %s is over its rate; retry after the time in Retry-After", account).WithRetryAfter(wait)
}
