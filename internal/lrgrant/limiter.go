package lrgrant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrring"
)

const (
	// reportsPerValidity is how often within the validity of a grant the holdings are looked through.
	reportsPerValidity = 4
	minRetryDelay      = 10 * time.Millisecond
	maxRetryDelay      = 200 * time.Millisecond
	prefetchRoom       = 256
)

// A Limiter is the daemon's side: it holds grants and admits requests on them.
type Limiter struct {
	options  Options
	clock    func() time.Time
	caller   caller
	zones    func() []string
	prefetch *lrring.Ring[*account]

	mutex    sync.Mutex
	accounts map[string]*account
}

// account guards what is held of one client account. Its turn is held by whoever exchanges reports with homes.
type account struct {
	name   string
	turn   chan struct{}
	mutex  sync.Mutex
	state  *lrlimit.Account
	limits lrlimit.Limits
	// waiting is the number of requests that wait for tokens. Later ones go behind them.
	waiting int
	// queued tells that the account waits in the prefetch ring.
	queued bool
}

// NewLimiter returns a Limiter that takes grants from the homes in the keeper's views.
func NewLimiter(keeper *Keeper, server *Server) *Limiter {
	return &Limiter{
		options: keeper.options, clock: keeper.Clock, caller: caller{keeper: keeper, server: server, sent: &atomic.Uint64{}, silent: &sync.Map{}}, zones: keeper.Zones,
		prefetch: lrring.New[*account](prefetchRoom), accounts: map[string]*account{},
	}
}

// Reserve takes the tokens of the request. It fetches grants when it must, and waits a short while before it refuses.
func (l *Limiter) Reserve(ctx context.Context, now time.Time, request lrlimit.Request) (lrlimit.Reservation, error) {
	if request.Tokens > request.Burst {
		return nil, lrlimit.RateLimited(request.Account, -1)
	}
	a := l.account(now, request)
	reserved := l.takeAtOnce(a, request.Tokens)
	if reserved != nil {
		l.fetchAhead(a)
		return reserved, nil
	}
	return l.fetchAndTake(ctx, now.Add(l.options.MaxWait), a, request)
}

// takeAtOnce uses held tokens unless an earlier request waits for them: small requests would overtake large ones for good.
// Otherwise the request counts as waiting.
func (l *Limiter) takeAtOnce(a *account, tokens float64) lrlimit.Reservation {
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
	case a.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, lrlimit.RateLimited(request.Account, l.retryAfter(a, request))
	}
	defer func() { <-a.turn }()
	for {
		reserved := l.fetch(ctx, a, request)
		if reserved != nil {
			return reserved, nil
		}
		wait := l.retryAfter(a, request)
		if l.clock().Add(wait).After(deadline) || !lrsupervise.Sleep(ctx, min(max(wait, minRetryDelay), maxRetryDelay)) {
			l.countRefusal(a, request.Tokens)
			l.giveUp(a)
			return nil, lrlimit.RateLimited(request.Account, wait)
		}
	}
}

// draws returns the homes to ask for what the tokens lack, in order.
func (l *Limiter) draws(a *account, tokens float64) []lrlimit.Draw {
	zones := l.zones()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := l.clock()
	return a.state.Draws(now, zones, a.limits.WithShare(1/float64(len(zones))), max(tokens-a.state.Held(now), 0))
}

// fetch asks the homes one after the other until the request fits.
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

// exchange asks a home for what the account lacks to hold the tokens, as far as the draw allows.
func (l *Limiter) exchange(ctx context.Context, a *account, draw lrlimit.Draw, tokens float64) {
	now := l.clock()
	a.mutex.Lock()
	need := min(max(tokens-a.state.Held(now), 0), draw.Most)
	want := a.state.Want(now, need)
	a.mutex.Unlock()
	l.caller.call(ctx, draw.Zone, []*ask{{account: a, need: need, want: want}})
}

func (l *Limiter) take(a *account, tokens float64) lrlimit.Reservation {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return l.takeHeld(a, tokens)
}

// takeHeld uses held tokens. A pause of the process between the look at the clock and the use is found afterwards. The
// account's mutex must be held.
func (l *Limiter) takeHeld(a *account, tokens float64) lrlimit.Reservation {
	parts, ok := a.state.Take(l.clock(), tokens)
	if !ok {
		return nil
	}
	now := l.clock()
	for _, p := range parts {
		if !now.Before(p.Expires()) {
			a.state.Return(now, parts, tokens)
			return nil
		}
	}
	return &reservation{account: a, parts: parts, tokens: tokens}
}

func (l *Limiter) countRefusal(a *account, tokens float64) {
	a.mutex.Lock()
	covered := a.state.Covers(l.clock(), tokens)
	a.mutex.Unlock()
	if covered {
		l.caller.keeper.RefusedInsideRate()
	}
}

// giveUp empties the holdings of an account whose request was refused, so that other daemons can use the tokens.
func (l *Limiter) giveUp(a *account) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, z := range l.zones() {
		l.caller.call(ctx, z, []*ask{{account: a, release: true}})
	}
}

// retryAfter returns when the whole fleet's rate will have brought the tokens that are missing now.
func (l *Limiter) retryAfter(a *account, request lrlimit.Request) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	missing := request.Tokens - a.state.Held(l.clock())
	if request.Rate <= 0 {
		return -1
	}
	return max(time.Duration(missing/request.Rate*float64(time.Second)), minRetryDelay)
}

// stopWaiting notes that a request has its tokens or has given up.
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
		a = &account{name: request.Account, turn: make(chan struct{}, 1), state: lrlimit.NewAccount("", l.options.Zone, now)}
		l.accounts[request.Account] = a
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limits = lrlimit.Limits{Rate: request.Rate, Burst: request.Burst}
	a.state.Ask(now, request.Tokens)
	return a
}

// fetchAhead has more tokens fetched when those held won't last.
func (l *Limiter) fetchAhead(a *account) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.queued || !a.state.IsShort(l.clock()) {
		return
	}
	a.queued = l.prefetch.Push(a)
}

type reservation struct {
	account *account
	parts   []*lrlimit.Part
	tokens  float64
	once    sync.Once
}

// Settle gives back what the request did not use.
func (r *reservation) Settle(now time.Time, used float64) {
	r.once.Do(func() {
		r.account.mutex.Lock()
		defer r.account.mutex.Unlock()
		r.account.state.Return(now, r.parts, max(r.tokens-used, 0))
	})
}
