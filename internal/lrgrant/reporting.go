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
		a.prefetchQueued = false
		a.mutex.Unlock()
		l.fetchMore(ctx, a)
	}
}

func (l *Limiter) fetchMore(ctx context.Context, a *account) {
	select {
	case a.exchangeSlot <- struct{}{}:
	default:
		return
	}
	defer func() { <-a.exchangeSlot }()
	for _, d := range l.draws(a, 0) {
		a.mutex.Lock()
		short := a.state.NeedsPrefetch(l.clock())
		a.mutex.Unlock()
		if !short {
			return
		}
		l.exchange(ctx, a, d, 0)
	}
}

// ReportPeriod returns the time between calls of Report.
func (l *Limiter) ReportPeriod() time.Duration { return l.options.GrantValidity / reportsPerValidity }

// Report refunds tokens that requests have not used and renews or releases grants that are about to expire, with one
// message to each home.
func (l *Limiter) Report(ctx context.Context, now time.Time) {
	renewBefore := now.Add(l.options.GrantValidity / 2)
	reports := map[string][]*accountReport{}
	for _, a := range l.activeAccounts() {
		select {
		case a.exchangeSlot <- struct{}{}:
		default:
			continue
		}
		due := l.dueReports(now, renewBefore, a)
		if len(due) == 0 {
			<-a.exchangeSlot
			continue
		}
		defer func() { <-a.exchangeSlot }()
		for zone, k := range due {
			reports[zone] = append(reports[zone], k)
		}
	}
	for zone, group := range reports {
		l.caller.call(ctx, zone, group)
	}
}

// dueReports returns the reports that are due, by the zone of the home. An account releases its tokens only when it holds
// more than it is likely to use soon.
func (l *Limiter) dueReports(now, renewBefore time.Time, a *account) map[string]*accountReport {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	due := map[string]*accountReport{}
	release := a.state.HasSurplus(now)
	want := a.state.FetchAmount(now, 0)
	if release {
		want = 0
	}
	for _, z := range a.state.ZonesToReport(now, renewBefore, a.limits.Burst) {
		due[z] = &accountReport{account: a, release: release, want: want}
	}
	return due
}

// activeAccounts returns the accounts in use and deletes idle ones.
func (l *Limiter) activeAccounts() []*account {
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

// Release releases all held tokens before the process ends.
func (l *Limiter) Release(ctx context.Context) {
	reports := map[string][]*accountReport{}
	for _, a := range l.activeAccounts() {
		for _, z := range l.zones() {
			reports[z] = append(reports[z], &accountReport{account: a, release: true})
		}
	}
	for zone, group := range reports {
		l.caller.call(ctx, zone, group)
	}
}

// Sent returns the number of messages sent to homes in other instances.
func (l *Limiter) Sent() uint64 { return l.caller.sent.Load() }

var _ lrlimit.Limiter = (*Limiter)(nil)
