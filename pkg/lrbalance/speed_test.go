package lrbalance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// trueEngine is the behaviour of engines that the Balancer does not know.
type trueEngine struct {
	prefillPerMilli float64
	perRunning      time.Duration
	overhead        time.Duration
}

// took returns the time to the first event of the choice under the load.
func (e trueEngine) took(choice Choice, load Load) time.Duration {
	tokens := float64(load.Waiting + choice.Missing)
	return e.overhead + time.Duration(tokens/e.prefillPerMilli*float64(time.Millisecond)) + time.Duration(load.Running)*e.perRunning
}

func largeEngine() []Engine { return []Engine{{ID: "e0", Zone: "a", Slots: 64, Version: 1}} }

func newSizedRequest(own int) Request {
	return Request{Scope: "s", Service: "svc", Tokens: own, Target: time.Second}
}

func medianError(b *Balancer, e trueEngine, now time.Time, random *rand.Rand, samples int, observe func(time.Duration) time.Duration) (float64, time.Time) {
	misses := make([]float64, 0, samples)
	for range samples {
		now = now.Add(50 * time.Millisecond)
		load := Load{Waiting: random.IntN(40_000), Running: random.IntN(60)}
		b.SetOtherLoads(map[string]Load{"e0": load})
		choice, _ := b.Choose(now, newSizedRequest(500+random.IntN(12_000)), largeEngine())
		took := e.took(choice, load)
		misses = append(misses, max(float64(choice.Wait), float64(took))/min(float64(choice.Wait), float64(took))-1)
		b.FirstEventAfter(now.Add(observe(took)), choice)
		b.End(choice, false)
	}
	slices.Sort(misses)
	return misses[len(misses)/2], now
}

// TestWaitPredictsFirstEvent guards against an expected wait that is wrong by the difference between the configured and the real speed of the
// engines of S and O, and against false samples that spoil it.
func TestWaitPredictsFirstEvent(t *testing.T) {
	engines := map[string]trueEngine{
		"S":                            {prefillPerMilli: 66.2, perRunning: 1500 * time.Microsecond, overhead: 6 * time.Millisecond},
		"a third of the assumed speed": {prefillPerMilli: 28, perRunning: 4 * time.Millisecond, overhead: 20 * time.Millisecond},
		"O":                            {prefillPerMilli: 112, perRunning: 100 * time.Microsecond, overhead: 12 * time.Millisecond},
	}
	for name, e := range engines {
		t.Run(name, func(t *testing.T) {
			b, random, now := newTestBalancer(1), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
			noisy := func(took time.Duration) time.Duration {
				if random.IntN(20) == 0 {
					return took * time.Duration(50*random.IntN(2))
				}
				return time.Duration((0.7 + 0.6*random.Float64()) * float64(took))
			}
			before, now := medianError(b, e, now, random, 10, noisy)
			_, now = medianError(b, e, now, random, 400, noisy)
			after, _ := medianError(b, e, now, random, 100, noisy)
			t.Logf("median error of the expected wait: %.3f of the first ten, %.3f after 400 samples", before, after)
			requireEqual(t, after < 0.15 && after < 0.6*before, true)
		})
	}
}

// TestOneSampleHasLittleWeight guards against one first event, late or at once, that changes where requests go.
func TestOneSampleHasLittleWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, took := range []time.Duration{0, time.Minute} {
		b := newTestBalancer(1)
		choice, _ := b.Choose(now, newSizedRequest(8000), newTestEngines(1))
		b.End(choice, false)
		b.FirstEventAfter(now.Add(took), choice)
		next, _ := b.Choose(now.Add(took), newSizedRequest(8000), newTestEngines(1))
		ratio := float64(next.Wait) / float64(choice.Wait)
		requireEqual(t, fmt.Sprintf("ratio %.2f is near 1: %v", ratio, ratio > 0.7 && ratio < 1.45), fmt.Sprintf("ratio %.2f is near 1: true", ratio))
	}
}

// TestSlowEngineGetsLessWorkWhileItLasts guards against requests at an engine that is 2.5 times slower for 0.6 s, and against an engine that
// gets no work after it.
func TestSlowEngineGetsLessWorkWhileItLasts(t *testing.T) {
	const engines, phase = 8, 600 * time.Millisecond
	b, now := newTestBalancer(1), time.Unix(1000, 0)
	type call struct {
		choice      Choice
		first, ends time.Time
		isComputed  bool
	}
	var calls []*call
	began := now.Add(4 * time.Second)
	counts := map[int]int{}
	for ; now.Before(began.Add(8 * phase)); now = now.Add(5 * time.Millisecond) {
		calls = slices.DeleteFunc(calls, func(c *call) bool {
			if !c.isComputed && !now.Before(c.first) {
				b.FirstEventAfter(now, c.choice)
				b.FirstEvent(now, c.choice)
				c.isComputed = true
			}
			if now.Before(c.ends) {
				return false
			}
			b.End(c.choice, true)
			return true
		})
		choice, _ := b.Choose(now, Request{Scope: "s", Service: "svc", Tokens: 3000}, newTestEngines(engines * 3)[:engines])
		took := choice.usual
		if choice.Engine.ID == "e0" && now.After(began) && now.Before(began.Add(phase)) {
			took = took * 5 / 2
		}
		calls = append(calls, &call{choice: choice, first: now.Add(took), ends: now.Add(took + 50*time.Millisecond)})
		if choice.Engine.ID == "e0" {
			counts[int((now.Sub(began)+4*time.Second)/(200*time.Millisecond))-20]++
		}
	}
	rate := func(from, to int) float64 {
		sum := 0
		for n := from; n < to; n++ {
			sum += counts[n]
		}
		return float64(sum) / float64(to-from)
	}
	before, during, after := rate(-10, 0), rate(1, 3), rate(5, 15)
	t.Logf("requests at the engine in 0.2 s: %.1f before, %.1f while it is slow, %.1f after", before, during, after)
	requireEqual(t, during < 0.75*before, true)
	requireEqual(t, after > 0.8*before, true)
}

// TestFastEngineIsNotFlooded guards against 74 and 420 instances that all send to the one engine that looks fastest, on a true or a false
// report, before they know one another's load.
func TestFastEngineIsNotFlooded(t *testing.T) {
	const engines, perInstance = 60, 3
	for _, instances := range []int{74, 420} {
		sent := 0
		for n := range instances {
			b := newTestBalancer(uint64(n))
			b.SetOtherLoads(map[string]Load{"e6": Load{}.WithSlowness(-1<<30, 1<<30)})
			for k := range perInstance {
				request := newTestRequest(fmt.Sprint("file", n, "-", k), "x")
				request.Instances = instances
				choice, _ := b.Choose(time.Unix(1000, 0), request, newTestEngines(engines))
				if choice.Engine.ID == "e6" {
					sent++
				}
			}
		}
		share := float64(sent) / float64(instances*perInstance)
		t.Logf("%d instances send %.3f of their requests to the engine that looks fastest of %d", instances, share, engines)
		requireEqual(t, share < 0.15, true)
	}
}

// TestUsualSpeedIsNotReported guards against reports that grow by the speeds of all engines, and against samples of one instance or of slow
// engines that are left out.
func TestUsualSpeedIsNotReported(t *testing.T) {
	cases := []struct{ sum, weight, want int }{{0, 100, 0}, {4, 60, 0}, {-4, 60, 0}, {20, 100, 100}, {-20, 100, 100}, {1, 10, 10}, {0, 0, 0}}
	for _, c := range cases {
		requireEqual(t, Load{}.WithSlowness(c.sum, c.weight).WithoutUsualSlowness().SlownessWeight, c.want)
	}
}

// TestSpeedEndsWithTheEngine guards against an engine that is avoided for what it was before its restart, and against reports that outlive
// the samples.
func TestSpeedEndsWithTheEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	learn := func() (*Balancer, Choice) {
		b := newTestBalancer(1)
		choice, _ := b.Choose(now, newSizedRequest(8000), newTestEngines(1))
		b.End(choice, false)
		for range 10 {
			b.FirstEventAfter(now.Add(4*choice.Wait), choice)
		}
		return b, choice
	}
	b, choice := learn()
	at := now.Add(4 * choice.Wait)
	requireEqual(t, b.slowness(at, "e0") > 1.5, true)
	requireEqual(t, len(b.OwnSpeeds(at)), 1)
	requireEqual(t, b.slowness(at.Add(3*time.Second), "e0") < 1.1, true)
	requireEqual(t, len(b.OwnSpeeds(at.Add(6*time.Second))), 0)
	b, _ = learn()
	b.Forget("e0")
	requireEqual(t, b.slowness(at, "e0"), 1.0)
}
