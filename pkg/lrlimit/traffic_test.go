package lrlimit_test

import (
	"fmt"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	accountCount  = 4
	maxWait       = time.Second
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

func accountNames() []string {
	names := make([]string, accountCount)
	for n := range names {
		names[n] = fmt.Sprintf("account-%d", n)
	}
	return names
}

// testLimits gives the accounts rates of different sizes, each with a burst of four seconds.
func testLimits(account string) lrlimit.Limits {
	rate := 1000 * float64(1+int(account[len(account)-1]-'0'))
	return lrlimit.Limits{Rate: rate, Burst: 4 * rate}
}

// testRequest is one request: what it reserves, what it will have used, and how long it runs.
type testRequest struct {
	account  string
	reserved float64
	used     float64
	duration time.Duration
	deadline time.Time
	decided  func(admitted bool)
}

// request makes a caller's request arrive at the instance.
func (p *instance) request(d testRequest) {
	p.later(0, func(now time.Time) {
		d.deadline = p.fleet.now.Add(maxWait)
		if p.fleet.naive != nil {
			p.decide(d, p.fleet.naive(p, d.account, testLimits(d.account), d.reserved), nil)
			return
		}
		p.account(d.account).RecordDemand(p.fleet.now, d.reserved)
		if len(p.waiting[d.account]) == 0 && p.tryTake(now, d) {
			return
		}
		p.waiting[d.account] = append(p.waiting[d.account], d)
		if len(p.waiting[d.account]) == 1 {
			p.tryReserve(now, d, p.draws(d))
		}
	})
}

// draws returns the homes to ask for what the request lacks.
func (p *instance) draws(d testRequest) []lrlimit.Draw {
	f := p.fleet
	a := p.account(d.account)
	return a.Draws(f.now, f.zones, testLimits(d.account).WithShare(1/float64(len(f.zones))), d.reserved-a.Held(f.now))
}

// tryReserve takes the tokens, or asks the homes of the zones one after the other. Only one request of an account does so at
// a time.
func (p *instance) tryReserve(now time.Time, d testRequest, draws []lrlimit.Draw) {
	f := p.fleet
	a := p.account(d.account)
	switch {
	case p.tryTake(now, d):
		p.tryNextWaiting(d.account)
	case len(draws) > 0:
		need := min(d.reserved-a.Held(f.now), draws[0].MaxTokens)
		p.exchange(d.account, draws[0].Zone, testLimits(d.account), need, a.FetchAmount(f.now, need), func() {
			p.tryReserve(f.now, d, draws[1:])
		})
	case f.now.Add(p.refillWait(d)).Before(d.deadline):
		p.later(min(p.refillWait(d), maxRetryDelay), func(now time.Time) { p.tryReserve(now, d, p.draws(d)) })
	default:
		p.decide(d, false, nil)
		p.releaseHoldings(d.account)
		p.tryNextWaiting(d.account)
	}
}

func (p *instance) tryNextWaiting(account string) {
	p.waiting[account] = p.waiting[account][1:]
	for len(p.waiting[account]) > 0 {
		next := p.waiting[account][0]
		if p.fleet.now.Before(next.deadline) {
			p.later(0, func(now time.Time) { p.tryReserve(now, next, p.draws(next)) })
			return
		}
		p.decide(next, false, nil)
		p.waiting[account] = p.waiting[account][1:]
	}
}

// tryTake admits the request if its tokens are held. It returns tokens that expired during a pause between the read of the
// clock and the use.
func (p *instance) tryTake(now time.Time, d testRequest) bool {
	debits, ok := p.account(d.account).Take(now, d.reserved)
	if !ok {
		return false
	}
	for _, debit := range debits {
		if !p.fleet.now.Before(debit.Expires()) {
			p.account(d.account).Return(p.fleet.now, debits, d.reserved)
			return false
		}
	}
	p.decide(d, true, debits)
	return true
}

func (p *instance) decide(d testRequest, admitted bool, debits []*lrlimit.Debit) {
	f := p.fleet
	if d.decided != nil {
		d.decided(admitted)
	}
	if !admitted {
		f.refused++
		return
	}
	f.admitted++
	f.reference(d.account).charge(f.now, d.used)
	a := p.accounts[d.account]
	if a == nil {
		return
	}
	p.later(d.duration, func(time.Time) { a.Return(f.now, debits, d.reserved-d.used) })
}

func (f *fleet) reference(account string) *referenceBucket {
	l, ok := f.references[account]
	if !ok {
		limits := testLimits(account)
		l = &referenceBucket{bucket: lrlimit.NewBucket(f.now, limits.Rate, limits.Burst).WithTokens(limits.Burst), lowest: limits.Burst}
		f.references[account] = l
	}
	return l
}

// charge takes the tokens from the bucket. A level below zero means that some window of time has seen more than rate and
// burst.
func (l *referenceBucket) charge(now time.Time, tokens float64) {
	l.bucket = l.bucket.WithTime(now).WithTokens(-tokens)
	l.lowest = min(l.lowest, l.bucket.Tokens())
}

// excess returns the largest number of tokens by which any window of any account exceeded its rate and burst.
func (f *fleet) excess() float64 {
	var excess float64
	for _, l := range f.references {
		excess = max(excess, -l.lowest)
	}
	return excess
}

// peakUse returns the largest share of its burst that any account had used up at once.
func (f *fleet) peakUse() float64 {
	peak := 0.0
	for name, l := range f.references {
		peak = max(peak, 1-l.lowest/testLimits(name).Burst)
	}
	return peak
}

func (p *instance) refillWait(d testRequest) time.Duration {
	missing := (d.reserved - p.account(d.account).Held(p.fleet.now)) / testLimits(d.account).Rate
	return max(time.Duration(missing*float64(time.Second)), minRetryDelay)
}

// releaseHoldings empties the holdings of an account whose request was refused, so that other instances can use the tokens.
func (p *instance) releaseHoldings(account string) {
	for _, z := range p.fleet.zones {
		home, _ := p.view(z).Home(account)
		p.account(account).Holding(z, home).Release()
		p.exchange(account, z, testLimits(account), 0, 0, func() {})
	}
}
