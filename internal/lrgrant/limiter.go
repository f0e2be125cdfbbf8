package lrgrant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrfifo"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	// reportsPerValidity is how often within the validity of a grant the holdings are checked for due reports.
	reportsPerValidity = 4
	minRetryDelay      = 10 * time.Millisecond
	maxRetryDelay      = 200 * time.Millisecond
	prefetchCapacity   = 256
)

// A Limiter is the side that uses grants: it fetches tokens from homes and admits requests with them. It is safe for use
// by several goroutines.
type Limiter struct {
	options  Options
	clock    func() time.Time
	caller   caller
	zones    func() []string
	prefetch *lrfifo.Queue[*account]

	mutex    sync.Mutex
	accounts map[string]*account
}

// account holds the grants of one client account.
type account struct {
	name string
	// exchangeSlot is a semaphore of size one. Only the goroutine that has acquired it exchanges reports with homes.
	exchangeSlot chan struct{}
	mutex        sync.Mutex
	state        *lrlimit.Account
	limits       lrlimit.Limits
	// waiting is the number of requests that wait for tokens. Later requests wait behind them.
	waiting int
	// prefetchQueued means that the account is in the prefetch queue.
	prefetchQueued bool
}

// NewLimiter returns a Limiter that requests grants from the homes in the keeper's views. Calls to homes in this process
// go to the server directly.
func NewLimiter(keeper *ViewKeeper, server *Server) *Limiter {
	return &Limiter{
		options: keeper.options, clock: keeper.Clock, caller: caller{keeper: keeper, server: server, sent: &atomic.Uint64{}, retryAt: &sync.Map{}}, zones: keeper.Zones,
		prefetch: lrfifo.New[*account](prefetchCapacity), accounts: map[string]*account{},
	}
}

// Reserve takes the tokens for the request. When the held tokens do not suffice it fetches grants, for up to MaxWait,
// before it refuses with an error of kind RateLimited. A request above the burst is refused at once.
func (l *Limiter) Reserve(ctx context.Context, now time.Time, request lrlimit.Request) (lrlimit.Reservation, error) {
	if request.Tokens > request.Burst {
		return nil, lrlimit.RateLimited(request.Account, -1)
	}
	a := l.account(now, request)
	reserved := l.takeOrWait(a, request.Tokens)
	if reserved != nil {
		l.queuePrefetch(a)
		return reserved, nil
	}
	return l.fetchAndTake(ctx, now.Add(l.options.MaxWait), a, request)
}

// takeOrWait takes held tokens unless an earlier request waits for tokens, since a steady flow of small requests would
// otherwise starve large ones. When it takes none, it returns nil and the request counts as waiting.
func (l *Limiter) takeOrWait(a *account, tokens float64) lrlimit.Reservation {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.waiting == 0 {
		reserved := l.takeHeld(a, tokens)
		if reserved != nil {
			return reserved
		}
	}
	a.waiting++
	return nil
}

func (l *Limiter) fetchAndTake(ctx context.Context, deadline time.Time, a *account, request lrlimit.Request) (lrlimit.Reservation, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer a.stopWaiting()
	select {
	case a.exchangeSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, lrlimit.RateLimited(request.Account, l.retryAfter(a, request))
	}
	defer func() { <-a.exchangeSlot }()
	for {
		reserved := l.fetch(ctx, a, request)
		if reserved != nil {
			return reserved, nil
		}
		wait := l.retryAfter(a, request)
		if l.clock().Add(wait).After(deadline) || !lrsupervise.Sleep(ctx, min(max(wait, minRetryDelay), maxRetryDelay)) {
			l.countRefusal(a, request.Tokens)
			l.releaseHoldings(a)
			return nil, lrlimit.RateLimited(request.Account, wait)
		}
	}
}

// draws returns the homes to ask, in order, for the tokens that are missing to hold the given number.
func (l *Limiter) draws(a *account, tokens float64) []lrlimit.Draw {
	zones := l.zones()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := l.clock()
	return a.state.Draws(now, zones, a.limits.WithShare(1/float64(len(zones))), max(tokens-a.state.Held(now), 0))
}

// fetch asks the homes one after the other until the held tokens cover the request.
func (l *Limiter) fetch(ctx context.Context, a *account, request lrlimit.Request) lrlimit.Reservation {
	for _, d := range l.draws(a, request.Tokens) {
		reserved := l.take(a, request.Tokens)
		if reserved != nil {
			return reserved
		}
		l.exchange(ctx, a, d, request.Tokens)
	}
	return l.take(a, request.Tokens)
}

// exchange asks a home for the tokens that are missing to hold the given number, at most those of the draw.
func (l *Limiter) exchange(ctx context.Context, a *account, draw lrlimit.Draw, tokens float64) {
	now := l.clock()
	a.mutex.Lock()
	need := min(max(tokens-a.state.Held(now), 0), draw.MaxTokens)
	want := a.state.FetchAmount(now, need)
	a.mutex.Unlock()
	l.caller.call(ctx, draw.Zone, []*accountReport{{account: a, need: need, want: want}})
}

func (l *Limiter) take(a *account, tokens float64) lrlimit.Reservation {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return l.takeHeld(a, tokens)
}

// takeHeld takes held tokens. It checks afterwards that their grants are still valid, since the process may have been
// paused between reading the clock and taking them. The account's mutex must be held.
func (l *Limiter) takeHeld(a *account, tokens float64) lrlimit.Reservation {
	debits, ok := a.state.Take(l.clock(), tokens)
	if !ok {
		return nil
	}
	now := l.clock()
	for _, p := range debits {
		if !now.Before(p.Expires()) {
			a.state.Return(now, debits, tokens)
			return nil
		}
	}
	return &reservation{account: a, debits: debits, tokens: tokens}
}

func (l *Limiter) countRefusal(a *account, tokens float64) {
	a.mutex.Lock()
	covered := a.state.Covers(l.clock(), tokens)
	a.mutex.Unlock()
	if covered {
		l.caller.keeper.RefusedInsideRate()
	}
}

// releaseHoldings releases the held tokens of an account whose request was refused, so that other instances can use them.
func (l *Limiter) releaseHoldings(a *account) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, z := range l.zones() {
		l.caller.call(ctx, z, []*accountReport{{account: a, release: true}})
	}
}

// retryAfter returns how long the account's rate over all instances takes to provide the tokens that are missing now, or
// a negative duration when the rate is zero.
func (l *Limiter) retryAfter(a *account, request lrlimit.Request) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	missing := request.Tokens - a.state.Held(l.clock())
	if request.Rate <= 0 {
		return -1
	}
	return max(time.Duration(missing/request.Rate*float64(time.Second)), minRetryDelay)
}

// stopWaiting records that a request has its tokens or was refused.
func (a *account) stopWaiting() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting--
}

func (l *Limiter) account(now time.Time, request lrlimit.Request) *account {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a, ok := l.accounts[request.Account]
	if !ok {
		a = &account{name: request.Account, exchangeSlot: make(chan struct{}, 1), state: lrlimit.NewAccount("", l.options.Zone, now)}
		l.accounts[request.Account] = a
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limits = lrlimit.Limits{Rate: request.Rate, Burst: request.Burst}
	a.state.RecordDemand(now, request.Tokens)
	return a
}

// queuePrefetch queues the account for RunPrefetch when the held tokens will not last.
func (l *Limiter) queuePrefetch(a *account) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.prefetchQueued || !a.state.NeedsPrefetch(l.clock()) {
		return
	}
	a.prefetchQueued = l.prefetch.Push(a)
}

type reservation struct {
	account *account
	debits  []*lrlimit.Debit
	tokens  float64
	once    sync.Once
}

// Settle returns the tokens that the request did not use. Only the first call has an effect.
func (r *reservation) Settle(now time.Time, used float64) {
	r.once.Do(func() {
		r.account.mutex.Lock()
		defer r.account.mutex.Unlock()
		r.account.state.Return(now, r.debits, max(r.tokens-used, 0))
	})
}
