package lrlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	faultRunLength = 4 * time.Minute
	loadPeriod     = 30 * time.Second
	loadLength     = 20 * time.Second
	step           = 40 * time.Millisecond
	// roundingTokens is the largest rounding error of a reference bucket.
	roundingTokens = 1e-3
)

// runWithFaults sends several times the rate of every account to all instances, with idle periods in which the pools fill.
// It injects faults of every kind at the given mean interval.
func runWithFaults(f *fleet, faultInterval time.Duration) {
	f.lossProbability, f.slowProbability = 0.005, 0.005
	for n := range int(faultRunLength / step) {
		if time.Duration(n)*step%loadPeriod > loadLength {
			f.runFor(step)
			continue
		}
		for _, name := range accountNames() {
			f.sendRandomRequest(name)
		}
		if f.chance(step.Seconds() / faultInterval.Seconds()) {
			f.injectFault()
		}
		f.runFor(step)
	}
}

func (f *fleet) sendRandomRequest(account string) {
	p := f.instances[f.random.IntN(len(f.instances))]
	reserved := testLimits(account).Rate * 0.3 * f.random.Float64()
	if f.chance(0.01) {
		reserved = testLimits(account).Burst * f.random.Float64()
	}
	used := reserved
	if f.chance(0.3) {
		used *= f.random.Float64()
	}
	p.request(testRequest{
		account: account, reserved: reserved, used: used,
		duration: time.Duration(f.random.ExpFloat64() * float64(3*time.Second)),
	})
}

func (f *fleet) injectFault() {
	p := f.instances[f.random.IntN(len(f.instances))]
	duration := time.Duration(f.random.Int64N(int64(40 * time.Second)))
	switch f.random.IntN(8) {
	case 0:
		p.up = false
		f.after(duration, func() {
			if !p.up {
				delete(f.gone, p.self.Name)
				p.start()
			}
		})
	case 1:
		name := p.self.Name
		p.up = false
		f.gone[name] = true
		f.after(duration, func() {
			delete(f.gone, name)
			if !p.up {
				p.start()
			}
		})
	case 2:
		p.pauseAfterClockRead = duration
	case 3:
		f.platformDown = true
		f.after(duration, func() { f.platformDown = false })
	case 4:
		f.partition(duration, func(q *instance) bool { return q.zone != p.zone }, p.zone, f.chance(0.5))
	case 5:
		f.partition(duration, func(q *instance) bool { return q != p }, p.self.Name, f.chance(0.5))
		f.gone[p.self.Name] = true
		f.after(duration, func() { delete(f.gone, p.self.Name) })
	case 6:
		for _, q := range f.instances {
			q.start()
		}
	case 7:
		f.partitionFromPlatform(duration, p)
	}
}

// partition partitions the instances of the near zone, or the near instance, from the far ones in one or both directions.
func (f *fleet) partition(duration time.Duration, far func(*instance) bool, near string, bothWays bool) {
	var links [][2]int
	for _, p := range f.instances {
		if p.zone != near && p.self.Name != near {
			continue
		}
		links = append(links, [2]int{p.id, platformID})
		for _, q := range f.instances {
			if !far(q) {
				continue
			}
			links = append(links, [2]int{p.id, q.id})
			if bothWays {
				links = append(links, [2]int{q.id, p.id})
			}
		}
	}
	f.partitionLinks(duration, links)
}

func (f *fleet) partitionFromPlatform(duration time.Duration, p *instance) {
	f.partitionLinks(duration, [][2]int{{p.id, platformID}})
}

func (f *fleet) partitionLinks(duration time.Duration, links [][2]int) {
	for _, l := range links {
		f.partitioned[l] = true
	}
	f.after(duration, func() {
		for _, l := range links {
			delete(f.partitioned, l)
		}
	})
}

func TestNoWindowSeesMoreThanRateAndBurst(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 3, 3)
			f.runFor(10 * time.Second)
			runWithFaults(f, time.Duration(2+seed%20)*time.Second)
			checkNoExcess(t, f)
			if f.admitted == 0 {
				t.Fatal("no request was admitted")
			}
			t.Logf("%d admitted, %d refused, closest to the limit %.2f of the burst", f.admitted, f.refused, f.peakUse())
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

func TestFaultsBreakNaiveLimiters(t *testing.T) {
	cases := []struct {
		name  string
		naive admission
	}{
		{"full bucket in every instance", fullLocalBucket},
		{"store counter with a local fallback", storeWithFallback},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(0, 3, 3)
			f.naive = c.naive
			runWithFaults(f, 10*time.Second)
			if f.excess() < 1 {
				t.Errorf("excess of %g tokens, so the faults do not break this limiter", f.excess())
			}
			t.Logf("%d admitted, %d refused, excess of %.0f tokens", f.admitted, f.refused, f.excess())
		})
	}
}

func fullLocalBucket(p *instance, account string, limits lrlimit.Limits, tokens float64) bool {
	return takeLocal(p, account, limits, tokens)
}

func takeLocal(p *instance, account string, limits lrlimit.Limits, tokens float64) bool {
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

// storeWithFallback counts in the store, and in a local bucket with an equal share of the limits while the store is
// unreachable.
func storeWithFallback(p *instance, account string, limits lrlimit.Limits, tokens float64) bool {
	f := p.fleet
	if f.platformDown || f.partitioned[[2]int{p.id, platformID}] {
		return takeLocal(p, account, limits.WithShare(1/float64(len(f.instances))), tokens)
	}
	return takeLocal(f.store, account, limits, tokens)
}
