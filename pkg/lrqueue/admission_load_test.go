package lrqueue

import (
	"fmt"
	"testing"
	"time"
)

const (
	// modelWarmUp, modelOverload and modelRecovery are the times of the phases of a run, and modelAfterwards is the time that the last
	// requests get.
	modelWarmUp     = 2 * time.Second
	modelOverload   = 8 * time.Second
	modelRecovery   = 4 * time.Second
	modelAfterwards = 4 * time.Second
)

// modelSizes are the instances and engines of a run.
func modelSizes() [][2]int { return [][2]int{{3, 24}, {74, 60}, {420, 300}} }

// runOverload runs a model of the size through an overload and returns when that began.
func runOverload(size [2]int, load map[string]float64, isOff bool) (*admissionModel, time.Time) {
	m := newAdmissionModel(size[0], size[1], 7)
	m.isOff = isOff
	m.run(modelWarmUp)
	from := m.now
	m.load = load
	m.run(modelOverload)
	return m, from
}

func requireAtLeast(t *testing.T, what string, got, least float64) {
	t.Helper()
	if got < least {
		t.Errorf("%s: got %.3f, want at least %.3f", what, got, least)
	}
}

// TestNobodyIsRefusedWithCapacity guards against refusals while there is capacity: at a third of the load, at no time, and at the usual load
// of 0.6 of the capacity less than once in 200 requests.
func TestNobodyIsRefusedWithCapacity(t *testing.T) {
	for _, size := range modelSizes() {
		for _, c := range []struct{ load, most float64 }{{0.33, 0}, {1, 0.005}} {
			t.Run(fmt.Sprint(size[0], " instances at ", c.load), func(t *testing.T) {
				m, _ := runOverload(size, map[string]float64{"long": c.load, "short": c.load}, false)
				if float64(m.refusals) > c.most*float64(len(m.callers)) {
					t.Errorf("%d of %d requests were refused", m.refusals, len(m.callers))
				}
			})
		}
	}
}

// TestNobodyIsRefusedBySlowIdleEngines guards against refusals on an idle system whose engines take longer than is known, so that most requests
// come late and the learned error is large.
func TestNobodyIsRefusedBySlowIdleEngines(t *testing.T) {
	for _, size := range modelSizes()[:2] {
		for _, slowness := range []float64{2.5, 10} {
			t.Run(fmt.Sprint(size[0], " instances, ", slowness, " times slower"), func(t *testing.T) {
				m := newAdmissionModel(size[0], size[1], 7)
				m.slowness = slowness
				m.load = map[string]float64{"long": 0.3 / slowness, "short": 0.3 / slowness}
				m.run(modelOverload)
				requireEqual(t, m.refusals, 0, "refusals")
			})
		}
	}
}

// TestBurstsStarveNobody guards against a burst of one or both kinds that leaves another kind, or the largest requests of a kind, much less
// often served than others, or a more urgent kind less often than a less urgent one.
func TestBurstsStarveNobody(t *testing.T) {
	bursts := []map[string]float64{{"short": 4}, {"long": 4}, {"short": 2.5, "long": 2.5}}
	for _, size := range modelSizes() {
		for _, load := range bursts {
			if size[0] > 100 && len(load) == 1 {
				// The largest size takes the most time, and the burst of both kinds covers both.
				continue
			}
			t.Run(fmt.Sprint(size[0], " instances ", load), func(t *testing.T) {
				m, from := runOverload(size, load, false)
				requireFairShares(t, m, from)
			})
		}
	}
}

// TestBurstsStarveNobodyWithOtherTargets is TestBurstsStarveNobody for a long kind with a shorter target than the short
// one.
func TestBurstsStarveNobodyWithOtherTargets(t *testing.T) {
	for _, load := range []map[string]float64{{"short": 4}, {"long": 4}, {"short": 2.5, "long": 2.5}} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			m := newAdmissionModel(74, 60, 7)
			long, short := m.kinds[0], m.kinds[1]
			long.urgency, long.target, long.late = 1, 800*time.Millisecond, 0.3
			short.target, short.late = 1200*time.Millisecond, 0.3
			m.run(modelWarmUp)
			from := m.now
			m.load = load
			m.run(modelOverload)
			requireFairShares(t, m, from)
		})
	}
}

// requireFairShares checks that the kinds, and the largest requests of each, are served often enough compared with others.
func requireFairShares(t *testing.T, m *admissionModel, from time.Time) {
	t.Helper()
	m.run(modelAfterwards)
	all := m.result(from, func(*modelCaller) bool { return true })
	long, short := m.result(from, ofRoute("long")), m.result(from, ofRoute("short"))
	requireAtLeast(t, "long against all", long.part(), all.part()/4)
	requireAtLeast(t, "short against all", short.part(), all.part()/4)
	requireAtLeast(t, "short against long", short.part(), long.part()-0.05)
	requireAtLeast(t, "credit of short against long", short.credit/short.count, long.credit/long.count-0.15)
	requireAtLeast(t, "largest of long", m.result(from, m.ofLargest("long")).part(), long.part()/2)
	requireAtLeast(t, "largest of short", m.result(from, m.ofLargest("short")).part(), short.part()/2)
}

// TestFloodingAccountIsRefusedFirst guards against an account that brings many times its usual load and takes the capacity of the others.
func TestFloodingAccountIsRefusedFirst(t *testing.T) {
	for _, size := range modelSizes()[:2] {
		t.Run(fmt.Sprint(size[0], " instances"), func(t *testing.T) {
			m, from := runOverload(size, map[string]float64{"a": 25}, false)
			m.run(modelAfterwards)
			flooding, other := m.result(from, ofAccount("a")), m.result(from, func(c *modelCaller) bool { return c.account != "a" })
			all := m.result(from, func(*modelCaller) bool { return true })
			requireAtLeast(t, "others", other.part(), 0.9)
			requireAtLeast(t, "others against the flooding account", other.part(), flooding.part())
			requireAtLeast(t, "flooding account against all", flooding.part(), all.part()/4)
			long := func(isFlooding bool) float64 {
				return m.result(from, func(c *modelCaller) bool { return c.kind.route == "long" && (c.account == "a") == isFlooding }).part()
			}
			requireAtLeast(t, "long requests of others against those of the flooding account", long(false), 1.2*long(true))
		})
	}
}

// TestUnresponsiveEnginesRefuseNotEverything guards against instances that learn from a quarter of the engines, which do not answer, that no
// request can be served in time.
func TestUnresponsiveEnginesRefuseNotEverything(t *testing.T) {
	for _, size := range modelSizes()[:2] {
		t.Run(fmt.Sprint(size[0], " instances"), func(t *testing.T) {
			m, _ := runOverload(size, nil, false)
			from := m.now
			for n := range size[1] / 4 {
				m.engines[n].isFrozen = true
			}
			m.run(modelOverload)
			requireAtLeast(t, "served", m.result(from, func(*modelCaller) bool { return true }).part(), 0.7)
		})
	}
}

// TestRecoveryIsFastAndSteady guards against refusals that go on after an overload, and against instances that refuse and accept in turn.
func TestRecoveryIsFastAndSteady(t *testing.T) {
	for _, size := range modelSizes()[:2] {
		t.Run(fmt.Sprint(size[0], " instances"), func(t *testing.T) {
			m, _ := runOverload(size, map[string]float64{"short": 2.5, "long": 2.5}, false)
			least, most := 1.0, 0.0
			for range 8 {
				refused, offered := m.refusals, m.sent
				m.run(500 * time.Millisecond)
				part := float64(m.refusals-refused) / float64(m.sent-offered)
				least, most = min(least, part), max(most, part)
			}
			requireAtLeast(t, "steadiness", least, most/3)
			m.load = nil
			m.run(modelRecovery)
			refused, sent := m.refusals, m.sent
			m.run(modelRecovery)
			if float64(m.refusals-refused) > 0.01*float64(m.sent-sent) {
				t.Errorf("%d of %d requests were refused after the recovery", m.refusals-refused, m.sent-sent)
			}
		})
	}
}
