package lrlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	stormLength = 4 * time.Minute
	floodPeriod = 30 * time.Second
	floodLength = 20 * time.Second
	step        = 40 * time.Millisecond
	// roundingTokens is the largest rounding error of a ledger.
	roundingTokens = 1e-3
)

// storm sends several times the rate of every account to all processes, with silences in which the pools fill, and
// brings about faults of every kind at a mean distance of the given time.
func storm(f *fleet, distance time.Duration) {
	f.loss, f.slow = 0.005, 0.005
	for n := range int(stormLength / step) {
		if time.Duration(n)*step%floodPeriod > floodLength {
			f.runFor(step)
			continue
		}
		for _, name := range accountNames() {
			f.flood(name)
		}
		if f.chance(step.Seconds() / distance.Seconds()) {
			f.breakSomething()
		}
		f.runFor(step)
	}
}

func (f *fleet) flood(account string) {
	p := f.procs[f.random.IntN(len(f.procs))]
	reserved := testLimits(account).Rate * 0.3 * f.random.Float64()
	if f.chance(0.01) {
		reserved = testLimits(account).Burst * f.random.Float64()
	}
	used := reserved
	if f.chance(0.3) {
		used *= f.random.Float64()
	}
	p.request(demand{
		account: account, reserved: reserved, used: used,
		duration: time.Duration(f.random.ExpFloat64() * float64(3*time.Second)),
	})
}

func (f *fleet) breakSomething() {
	p := f.procs[f.random.IntN(len(f.procs))]
	lasting := time.Duration(f.random.Int64N(int64(40 * time.Second)))
	switch f.random.IntN(8) {
	case 0:
		p.up = false
		f.after(lasting, func() {
			if !p.up {
				delete(f.gone, p.self.Name)
				p.start()
			}
		})
	case 1:
		name := p.self.Name
		p.up = false
		f.gone[name] = true
		f.after(lasting, func() {
			delete(f.gone, name)
			if !p.up {
				p.start()
			}
		})
	case 2:
		p.interrupt = lasting
	case 3:
		f.down = true
		f.after(lasting, func() { f.down = false })
	case 4:
		f.sever(lasting, func(q *proc) bool { return q.zone != p.zone }, p.zone, f.chance(0.5))
	case 5:
		f.sever(lasting, func(q *proc) bool { return q != p }, p.self.Name, f.chance(0.5))
		f.gone[p.self.Name] = true
		f.after(lasting, func() { delete(f.gone, p.self.Name) })
	case 6:
		for _, q := range f.procs {
			q.start()
		}
	case 7:
		f.severPlatform(lasting, p)
	}
}

// sever cuts the processes of a zone, or the one of the name, from the far ones, one way or both.
func (f *fleet) sever(lasting time.Duration, far func(*proc) bool, near string, bothWays bool) {
	var links [][2]int
	for _, p := range f.procs {
		if p.zone != near && p.self.Name != near {
			continue
		}
		links = append(links, [2]int{p.id, platformID})
		for _, q := range f.procs {
			if !far(q) {
				continue
			}
			links = append(links, [2]int{p.id, q.id})
			if bothWays {
				links = append(links, [2]int{q.id, p.id})
			}
		}
	}
	f.cutFor(lasting, links)
}

func (f *fleet) severPlatform(lasting time.Duration, p *proc) {
	f.cutFor(lasting, [][2]int{{p.id, platformID}})
}

func (f *fleet) cutFor(lasting time.Duration, links [][2]int) {
	for _, l := range links {
		f.cut[l] = true
	}
	f.after(lasting, func() {
		for _, l := range links {
			delete(f.cut, l)
		}
	})
}

func TestNoWindowSeesMoreThanRateAndBurst(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 3, 3)
			f.runFor(10 * time.Second)
			storm(f, time.Duration(2+seed%20)*time.Second)
			checkNoExcess(t, f)
			if f.admitted == 0 {
				t.Fatal("no request was admitted")
			}
			t.Logf("%d admitted, %d refused, closest to the limit %.2f of the burst", f.admitted, f.refused, f.closest())
		})
	}
}

func checkNoExcess(t *testing.T, f *fleet) {
	t.Helper()
	for _, err := range f.faults {
		t.Error(err)
	}
	if f.excess() > roundingTokens {
		t.Errorf("a window saw %g tokens above rate and burst", f.excess())
	}
}

func TestStormBreaksNaiveLimiters(t *testing.T) {
	cases := []struct {
		name  string
		naive admission
	}{
		{"full bucket in every process", fullLocalBucket},
		{"store counter with a local fallback", storeWithFallback},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(0, 3, 3)
			f.naive = c.naive
			storm(f, 10*time.Second)
			if f.excess() < 1 {
				t.Errorf("excess of %g tokens, so the storm proves nothing", f.excess())
			}
			t.Logf("%d admitted, %d refused, excess of %.0f tokens", f.admitted, f.refused, f.excess())
		})
	}
}

func fullLocalBucket(p *proc, account string, limits lrlimit.Limits, tokens float64) bool {
	return takeLocal(p, account, limits, tokens)
}

func takeLocal(p *proc, account string, limits lrlimit.Limits, tokens float64) bool {
	now := p.fleet.now
	bucket, ok := p.buckets[account]
	if !ok {
		bucket = lrlimit.NewBucket(now, limits.Rate, limits.Burst).WithTokens(limits.Burst)
	}
	bucket = bucket.WithTime(now)
	ok = bucket.Tokens() >= tokens
	if ok {
		bucket = bucket.WithTokens(-tokens)
	}
	p.buckets[account] = bucket
	return ok
}

// storeWithFallback counts in the store, and in a bucket of its own for an equal share while the store is away.
func storeWithFallback(p *proc, account string, limits lrlimit.Limits, tokens float64) bool {
	f := p.fleet
	if f.down || f.cut[[2]int{p.id, platformID}] {
		return takeLocal(p, account, limits.WithShare(1/float64(len(f.procs))), tokens)
	}
	return takeLocal(f.store, account, limits, tokens)
}
