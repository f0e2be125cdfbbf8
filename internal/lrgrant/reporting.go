package lrgrant

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// RunPrefetch fetches tokens for busy accounts ahead of their requests.
func (l *Limiter) RunPrefetch(ctx context.Context) error {
	for {
		a, err := l.prefetch.Pop(ctx)
		if err != nil {
			return nil
		}
		a.mutex.Lock()
		a.queued = false
		a.mutex.Unlock()
		l.fetchMore(ctx, a)
	}
}

func (l *Limiter) fetchMore(ctx context.Context, a *account) {
	select {
	case a.turn <- struct{}{}:
	default:
		return
	}
	defer func() { <-a.turn }()
	for _, d := range l.draws(a, 0) {
		a.mutex.Lock()
		short := a.state.IsShort(l.clock())
		a.mutex.Unlock()
		if !short {
			return
		}
		l.exchange(ctx, a, d, 0)
	}
}

// ReportPeriod returns how often Report must be called.
func (l *Limiter) ReportPeriod() time.Duration { return l.options.GrantValidity / reportsPerValidity }

// Report gives back what requests have not used, and grants that would end unused, in one message to each home.
func (l *Limiter) Report(ctx context.Context, now time.Time) {
	before := now.Add(l.options.GrantValidity / 2)
	asks := map[string][]*ask{}
	for _, a := range l.snapshot() {
		select {
		case a.turn <- struct{}{}:
		default:
			continue
		}
		due := l.due(now, before, a)
		if len(due) == 0 {
			<-a.turn
			continue
		}
		defer func() { <-a.turn }()
		for zone, k := range due {
			asks[zone] = append(asks[zone], k)
		}
	}
	for zone, group := range asks {
		l.caller.call(ctx, zone, group)
	}
}

// due returns what must be told to the homes of each zone. A busy account keeps what it can use soon.
func (l *Limiter) due(now, before time.Time, a *account) map[string]*ask {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	due := map[string]*ask{}
	release := a.state.HasSurplus(now)
	want := a.state.Want(now, 0)
	if release {
		want = 0
	}
	for _, z := range a.state.Due(now, before, a.limits.Burst) {
		due[z] = &ask{account: a, release: release, want: want}
	}
	return due
}

// snapshot returns the accounts in use and forgets the idle ones.
func (l *Limiter) snapshot() []*account {
	now := l.clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	accounts := make([]*account, 0, len(l.accounts))
	for name, a := range l.accounts {
		a.mutex.Lock()
		idle := a.state.IsIdle(now) && a.state.Demand(now) < 1
		a.mutex.Unlock()
		if idle {
			delete(l.accounts, name)
			continue
		}
		accounts = append(accounts, a)
	}
	return accounts
}

// Release gives everything back before the process ends.
func (l *Limiter) Release(ctx context.Context) {
	asks := map[string][]*ask{}
	for _, a := range l.snapshot() {
		for _, z := range l.zones() {
			asks[z] = append(asks[z], &ask{account: a, release: true})
		}
	}
	for zone, group := range asks {
		l.caller.call(ctx, zone, group)
	}
}

// Sent returns the number of messages sent to homes in other processes.
func (l *Limiter) Sent() uint64 { return l.caller.sent.Load() }

var _ lrlimit.Limiter = (*Limiter)(nil)
