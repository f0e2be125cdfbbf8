package lrlimit_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// warmUp lets the views settle and the pools fill.
const warmUp = 30 * time.Second

// central is one bucket with one queue, at which requests wait as long as at the fleet.
type central struct {
	bucket lrlimit.Bucket
	last   time.Time
}

func (c *central) admits(now time.Time, tokens float64) bool {
	start := now
	if c.last.After(start) {
		start = c.last
	}
	bucket := c.bucket.WithTime(start)
	start = start.Add(bucket.Wait(tokens))
	if start.Sub(now) > maxWait {
		return false
	}
	c.bucket, c.last = bucket.WithTime(start).WithTokens(-tokens), start
	return true
}

// comparison counts the refusals that a central bucket did not make on the same requests.
type comparison struct {
	requests int
	refused  int
	central  int
	wrongful int
}

// compareWithCentral sends requests of many sizes to the fleet at the given part of the limits, so many a second.
func compareWithCentral(f *fleet, account string, limits lrlimit.Limits, load, requestsPerSecond float64, pick func() *proc) comparison {
	const duration = 10 * time.Minute
	reference := &central{bucket: lrlimit.NewBucket(f.now, limits.Rate, limits.Burst).WithTokens(limits.Burst)}
	var c comparison
	end := f.now.Add(duration)
	for f.now.Before(end) {
		f.runFor(time.Duration(f.random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		tokens := min(f.random.ExpFloat64()*load*limits.Rate/requestsPerSecond, limits.Burst/4)
		admissible := reference.admits(f.now, tokens)
		c.requests++
		if !admissible {
			c.central++
		}
		pick().request(demand{account: account, reserved: tokens, used: tokens, decided: func(admitted bool) {
			if admitted {
				return
			}
			c.refused++
			if admissible {
				c.wrongful++
			}
		}})
	}
	f.runFor(2 * maxWait)
	return c
}

func checkFewWrongful(t *testing.T, c comparison) {
	t.Helper()
	t.Logf("%d requests, %d refused, %d by a central bucket, %d wrongfully", c.requests, c.refused, c.central, c.wrongful)
	if float64(c.wrongful) > 0.001*float64(c.requests) {
		t.Errorf("%d of %d requests were refused although a central bucket admits them", c.wrongful, c.requests)
	}
}

// uneven picks one process for half of the requests, its zone for three quarters, and any process for the rest.
func (f *fleet) uneven() *proc {
	switch f.random.IntN(4) {
	case 0, 1:
		return f.procs[0]
	case 2:
		return f.procs[f.random.IntN(len(f.procs)/len(f.zones))*len(f.zones)]
	default:
		return f.procs[f.random.IntN(len(f.procs))]
	}
}

func TestConnectedFleetAgreesWithCentralBucket(t *testing.T) {
	requestRates := []float64{20, 50, 100, 300}
	for n, account := range accountNames() {
		t.Run(account, func(t *testing.T) {
			t.Parallel()
			f := newFleet(7, 3, 3)
			f.runFor(warmUp)
			before := f.calls
			c := compareWithCentral(f, account, testLimits(account), 0.9, requestRates[n], f.uneven)
			checkNoExcess(t, f)
			checkFewWrongful(t, c)
			t.Logf("%.0f requests a second, %.3f calls per request", requestRates[n], float64(f.calls-before)/float64(c.requests))
		})
	}
}

// TestConnectedFleetAgreesOnLargeRequests sends requests of a twentieth of the burst on average, some of a quarter.
func TestConnectedFleetAgreesOnLargeRequests(t *testing.T) {
	f := newFleet(7, 3, 3)
	f.runFor(warmUp)
	account := accountNames()[0]
	c := compareWithCentral(f, account, testLimits(account), 0.9, 5, f.uneven)
	checkNoExcess(t, f)
	checkFewWrongful(t, c)
}

// TestConnectedFleetAgreesOnLargeRequestsOverSeeds adds many runs up, since one of them has only a few refusals.
func TestConnectedFleetAgreesOnLargeRequestsOverSeeds(t *testing.T) {
	var sum comparison
	for seed := uint64(1); seed <= 40; seed++ {
		f := newFleet(seed, 3, 3)
		f.runFor(warmUp)
		account := accountNames()[0]
		c := compareWithCentral(f, account, testLimits(account), 0.9, 5, f.uneven)
		checkNoExcess(t, f)
		sum.requests += c.requests
		sum.refused += c.refused
		sum.central += c.central
		sum.wrongful += c.wrongful
	}
	checkFewWrongful(t, sum)
}

// TestPoolsAreLeftEquallyFull draws a large request from three pools of different levels.
func TestPoolsAreLeftEquallyFull(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := lrlimit.Limits{Rate: 0, Burst: 100}
	a := lrlimit.NewAccount("d", "a", now)
	for zone, level := range map[string]float64{"a": 100, "b": 70, "c": 10} {
		h := a.Holding(zone, lrlimit.Member{Name: zone})
		report := h.Report(now, 0, 0)
		h.Accept(now, now, report.Sequence, lrlimit.Answer{Accepted: true, Level: level, Validity: time.Second})
	}
	asked := map[string]float64{}
	for _, d := range a.Draws(now, []string{"a", "b", "c"}, limits, 90)[:2] {
		asked[d.Zone] = d.Most
	}
	for zone, want := range map[string]float64{"a": 60, "b": 30} {
		t.Run(zone, func(t *testing.T) {
			if asked[zone] != want {
				t.Errorf("asked for %v tokens, want %v", asked[zone], want)
			}
		})
	}
}

func TestZoneCutOffKeepsItsEntitlement(t *testing.T) {
	f := newFleet(3, 3, 3)
	f.runFor(warmUp)
	var links [][2]int
	for _, p := range f.procs {
		for _, q := range f.procs {
			if (p.zone == f.zones[0]) != (q.zone == f.zones[0]) {
				links = append(links, [2]int{p.id, q.id})
			}
		}
		if p.zone == f.zones[0] {
			links = append(links, [2]int{p.id, platformID})
		}
	}
	f.cutFor(time.Hour, links)
	account := accountNames()[0]
	f.runFor(warmUp)
	limits := testLimits(account).WithShare(1.0 / 3)
	c := compareWithCentral(f, account, limits, 0.9, 20, func() *proc { return f.procs[f.random.IntN(3)*3] })
	checkNoExcess(t, f)
	checkFewWrongful(t, c)
}

func TestWholeBurstPassesThroughOneProcess(t *testing.T) {
	f := newFleet(5, 3, 3)
	f.runFor(warmUp)
	account := accountNames()[2]
	admitted := false
	f.procs[4].request(demand{
		account: account, reserved: testLimits(account).Burst, used: testLimits(account).Burst,
		decided: func(ok bool) { admitted = ok },
	})
	f.runFor(2 * maxWait)
	checkNoExcess(t, f)
	if !admitted {
		t.Error("a request of the whole burst was refused although the account was idle")
	}
}

func TestHomesGoOnWhilePlatformIsDown(t *testing.T) {
	f := newFleet(7, 3, 3)
	f.runFor(warmUp)
	f.down = true
	f.runFor(time.Hour)
	account := accountNames()[1]
	c := compareWithCentral(f, account, testLimits(account), 0.9, 20, f.uneven)
	checkNoExcess(t, f)
	checkFewWrongful(t, c)
}
