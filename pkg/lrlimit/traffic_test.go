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

// demand is one request: what it reserves, what it will have used, and how long it runs.
type demand struct {
	account  string
	reserved float64
	used     float64
	duration time.Duration
	deadline time.Time
	decided  func(admitted bool)
}

// request lets a caller's request arrive at the process.
func (p *proc) request(d demand) {
	p.later(0, func(now time.Time) {
		d.deadline = p.fleet.now.Add(maxWait)
		if p.fleet.naive != nil {
			p.decide(d, p.fleet.naive(p, d.account, testLimits(d.account), d.reserved), nil)
			return
		}
		p.account(d.account).Ask(p.fleet.now, d.reserved)
		if len(p.waiting[d.account]) == 0 && p.take(now, d) {
			return
		}
		p.waiting[d.account] = append(p.waiting[d.account], d)
		if len(p.waiting[d.account]) == 1 {
			p.try(now, d, p.draws(d))
		}
	})
}

// draws returns the homes to ask for what the request lacks.
func (p *proc) draws(d demand) []lrlimit.Draw {
	f := p.fleet
	a := p.account(d.account)
	return a.Draws(f.now, f.zones, testLimits(d.account).WithShare(1/float64(len(f.zones))), d.reserved-a.Held(f.now))
}

// try takes the tokens, or asks the homes of the zones one after the other. One request of an account does so at a time.
func (p *proc) try(now time.Time, d demand, draws []lrlimit.Draw) {
	f := p.fleet
	a := p.account(d.account)
	switch {
	case p.take(now, d):
		p.tryNext(d.account)
	case len(draws) > 0:
		need := min(d.reserved-a.Held(f.now), draws[0].Most)
		p.exchange(d.account, draws[0].Zone, testLimits(d.account), need, a.Want(f.now, need), func() {
			p.try(f.now, d, draws[1:])
		})
	case f.now.Add(p.missing(d)).Before(d.deadline):
		p.later(min(p.missing(d), maxRetryDelay), func(now time.Time) { p.try(now, d, p.draws(d)) })
	default:
		p.decide(d, false, nil)
		p.giveUp(d.account)
		p.tryNext(d.account)
	}
}

func (p *proc) tryNext(account string) {
	p.waiting[account] = p.waiting[account][1:]
	for len(p.waiting[account]) > 0 {
		next := p.waiting[account][0]
		if p.fleet.now.Before(next.deadline) {
			p.later(0, func(now time.Time) { p.try(now, next, p.draws(next)) })
			return
		}
		p.decide(next, false, nil)
		p.waiting[account] = p.waiting[account][1:]
	}
}

// take admits the request if its tokens are held. A pause between the look at the clock and the use is found.
func (p *proc) take(now time.Time, d demand) bool {
	parts, ok := p.account(d.account).Take(now, d.reserved)
	if !ok {
		return false
	}
	for _, part := range parts {
		if !p.fleet.now.Before(part.Expires()) {
			p.account(d.account).Return(p.fleet.now, parts, d.reserved)
			return false
		}
	}
	p.decide(d, true, parts)
	return true
}

func (p *proc) decide(d demand, admitted bool, parts []*lrlimit.Part) {
	f := p.fleet
	if d.decided != nil {
		d.decided(admitted)
	}
	if !admitted {
		f.refused++
		return
	}
	f.admitted++
	f.ledger(d.account).charge(f.now, d.used)
	a := p.accounts[d.account]
	if a == nil {
		return
	}
	p.later(d.duration, func(time.Time) { a.Return(f.now, parts, d.reserved-d.used) })
}

func (f *fleet) ledger(account string) *ledger {
	l, ok := f.ledgers[account]
	if !ok {
		limits := testLimits(account)
		l = &ledger{bucket: lrlimit.NewBucket(f.now, limits.Rate, limits.Burst).WithTokens(limits.Burst), worst: limits.Burst}
		f.ledgers[account] = l
	}
	return l
}

// charge takes the tokens from the bucket. A level below zero means that some window has seen more than rate and burst.
func (l *ledger) charge(now time.Time, tokens float64) {
	l.bucket = l.bucket.WithTime(now).WithTokens(-tokens)
	l.worst = min(l.worst, l.bucket.Tokens())
}

// excess returns the most tokens by which any window of any account was above its rate and burst.
func (f *fleet) excess() float64 {
	var excess float64
	for _, l := range f.ledgers {
		excess = max(excess, -l.worst)
	}
	return excess
}

// closest returns how much of its burst the account that came closest to its limit had used up at once.
func (f *fleet) closest() float64 {
	closest := 0.0
	for name, l := range f.ledgers {
		closest = max(closest, 1-l.worst/testLimits(name).Burst)
	}
	return closest
}

func (p *proc) missing(d demand) time.Duration {
	missing := (d.reserved - p.account(d.account).Held(p.fleet.now)) / testLimits(d.account).Rate
	return max(time.Duration(missing*float64(time.Second)), minRetryDelay)
}

// giveUp empties the holdings of an account whose request was refused, so that other processes can use the tokens.
func (p *proc) giveUp(account string) {
	for _, z := range p.fleet.zones {
		home, _ := p.view(z).Home(account)
		p.account(account).Holding(z, home).GiveUp()
		p.exchange(account, z, testLimits(account), 0, 0, func() {})
	}
}
