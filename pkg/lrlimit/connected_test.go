package lrlimit_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// warmUp is long enough for the views to settle and the pools to fill.
const warmUp = 30 * time.Second

// centralQueue is one bucket with one queue. Requests wait there for up to maxWait, as they do in the fleet.
type centralQueue struct {
	bucket lrlimit.Bucket
	last   time.Time
}

func (c *centralQueue) admits(now time.Time, tokens float64) bool {
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

// comparison counts the requests that the fleet and a central bucket refused. Those that only the fleet refused are
// wrongful.
type comparison struct {
	requests         int
	refused          int
	refusedByCentral int
	wrongful         int
}

// compareWithCentral sends requests of many sizes to the fleet, at the given share of the limits and the given number of
// requests per second.
func compareWithCentral(f *fleet, account string, limits lrlimit.Limits, load, requestsPerSecond float64, pick func() *instance) comparison {
	const duration = 10 * time.Minute
	reference := &centralQueue{bucket: lrlimit.NewBucket(f.now, limits.Rate, limits.Burst).WithTokens(limits.Burst)}
	var c comparison
	end := f.now.Add(duration)
	for f.now.Before(end) {
		f.runFor(time.Duration(f.random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		tokens := min(f.random.ExpFloat64()*load*limits.Rate/requestsPerSecond, limits.Burst/4)
		admissible := reference.admits(f.now, tokens)
		c.requests++
		if !admissible {
			c.refusedByCentral++
		}
		pick().request(testRequest{account: account, reserved: tokens, used: tokens, decided: func(admitted bool) {
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
	t.Logf("%d requests, %d refused, %d by a central bucket, %d wrongfully", c.requests, c.refused, c.refusedByCentral, c.wrongful)
	if float64(c.wrongful) > 0.001*float64(c.requests) {
		t.Errorf("%d of %d requests were refused although a central bucket admits them", c.wrongful, c.requests)
	}
}

// pickUnevenly picks one instance for half of the requests, an instance of its zone for a quarter, and any instance for the
// rest.
func (f *fleet) pickUnevenly() *instance {
	switch f.random.IntN(4) {
	case 0, 1:
		return f.instances[0]
	case 2:
		return f.instances[f.random.IntN(len(f.instances)/len(f.zones))*len(f.zones)]
	default:
		return f.instances[f.random.IntN(len(f.instances))]
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
			c := compareWithCentral(f, account, testLimits(account), 0.9, requestRates[n], f.pickUnevenly)
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
	c := compareWithCentral(f, account, testLimits(account), 0.9, 5, f.pickUnevenly)
	checkNoExcess(t, f)
	checkFewWrongful(t, c)
}

// TestConnectedFleetAgreesOnLargeRequestsOverSeeds sums the results of many runs, since a single run has only a few
// refusals.
func TestConnectedFleetAgreesOnLargeRequestsOverSeeds(t *testing.T) {
	var sum comparison
	for seed := uint64(1); seed <= 40; seed++ {
		f := newFleet(seed, 3, 3)
		f.runFor(warmUp)
		account := accountNames()[0]
		c := compareWithCentral(f, account, testLimits(account), 0.9, 5, f.pickUnevenly)
		checkNoExcess(t, f)
		sum.requests += c.requests
		sum.refused += c.refused
		sum.refusedByCentral += c.refusedByCentral
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
		asked[d.Zone] = d.MaxTokens
	}
	for zone, want := range map[string]float64{"a": 60, "b": 30} {
		t.Run(zone, func(t *testing.T) {
			if asked[zone] != want {
				t.Errorf("asked for %v tokens, want %v", asked[zone], want)
			}
		})
	}
}

func TestPartitionedZoneKeepsItsEntitlement(t *testing.T) {
	f := newFleet(3, 3, 3)
	f.runFor(warmUp)
	var links [][2]int
	for _, p := range f.instances {
		for _, q := range f.instances {
			if (p.zone == f.zones[0]) != (q.zone == f.zones[0]) {
				links = append(links, [2]int{p.id, q.id})
			}
		}
		if p.zone == f.zones[0] {
			links = append(links, [2]int{p.id, platformID})
		}
	}
	f.partitionLinks(time.Hour, links)
	account := accountNames()[0]
	f.runFor(warmUp)
	limits := testLimits(account).WithShare(1.0 / 3)
	c := compareWithCentral(f, account, limits, 0.9, 20, func() *instance { return f.instances[f.random.IntN(3)*3] })
	checkNoExcess(t, f)
	checkFewWrongful(t, c)
}

func TestOneInstanceCanUseTheWholeBurst(t *testing.T) {
	f := newFleet(5, 3, 3)
	f.runFor(warmUp)
	account := accountNames()[2]
	admitted := false
	f.instances[4].request(testRequest{
		account: account, reserved: testLimits(account).Burst, used: testLimits(account).Burst,
		decided: func(ok bool) { admitted = ok },
	})
	f.runFor(2 * maxWait)
	checkNoExcess(t, f)
	if !admitted {
		t.Error("a request of the whole burst was refused although the account was idle")
	}
}

func TestHomesGrantWhilePlatformIsDown(t *testing.T) {
	f := newFleet(7, 3, 3)
	f.runFor(warmUp)
	f.platformDown = true
	f.runFor(time.Hour)
	account := accountNames()[1]
	c := compareWithCentral(f, account, testLimits(account), 0.9, 20, f.pickUnevenly)
	checkNoExcess(t, f)
	checkFewWrongful(t, c)
}
