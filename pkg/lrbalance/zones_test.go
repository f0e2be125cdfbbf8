package lrbalance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestZonesAreCrossedForTheTarget guards against bytes between zones for requests that the own zone can serve in time, and against late
// requests while another zone has free engines, as at the peak of a zone of O.
func TestZonesAreCrossedForTheTarget(t *testing.T) {
	engines := []Engine{{ID: "near", Zone: "a", Slots: 64, Version: 1}, {ID: "far", Zone: "b", Slots: 64, Version: 1}}
	cases := []struct {
		name    string
		target  time.Duration
		waiting int
		want    string
	}{
		{"in time in the own zone, a little later than elsewhere", 800 * time.Millisecond, 2500, "near"},
		{"without a target as before", 0, 2500, "far"},
		{"too late in the own zone", 80 * time.Millisecond, 2500, "far"},
		{"in time in the own zone, much later than elsewhere", 800 * time.Millisecond, 20_000, "far"},
		{"no load", 800 * time.Millisecond, 0, "near"},
		{"the target has passed", -time.Second, 2500, "far"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(1)
			b.SetOtherLoads(map[string]Load{"near": {Waiting: c.waiting}})
			choice, ok := b.Choose(time.Unix(1000, 0), Request{Scope: "s", Tokens: 3000, Target: c.target}, engines)
			requireEqual(t, ok, true)
			requireEqual(t, choice.Engine.ID, c.want)
		})
	}
}

// TestHolderInTheOwnZoneIsTheSource guards against cached blocks that cross zones although an engine of the own zone has them.
func TestHolderInTheOwnZoneIsTheSource(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(6)
	for seed := range uint64(5) {
		b := newTestBalancer(seed)
		request := newTestRequest("file", "x")
		_, candidates := b.newPlacement(now, request, engines)
		for _, holder := range []string{"e1", "e3"} {
			for _, block := range candidates[0].blocks {
				b.RecordCached(now, holder, []Key{block.key})
			}
		}
		p, _ := b.newPlacement(now, request, engines)
		requireEqual(t, p.sources[1].engine, "e3")
		request.Excluded = map[string]bool{"e3": true}
		p, _ = b.newPlacement(now, request, engines)
		requireEqual(t, p.sources[1].engine, "e1")
	}
}

// TestDelayBetweenZonesIsLearned guards against an expected wait at engines of another zone that lacks the way there and back, 10.8 ms on O.
func TestDelayBetweenZonesIsLearned(t *testing.T) {
	const delay = 10_800 * time.Microsecond
	b, random, now := newTestBalancer(1), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	e := trueEngine{prefillPerMilli: testPrefill, perRunning: decodeDelayPerRequest, overhead: 5 * time.Millisecond}
	miss := map[string]time.Duration{}
	for n := range 3000 {
		now = now.Add(20 * time.Millisecond)
		zone := []string{"a", "b"}[n%2]
		choice, _ := b.Choose(now, newSizedRequest(100+random.IntN(800)), []Engine{{ID: zone, Zone: zone, Slots: 64}})
		took := e.took(choice, Load{})
		if zone == "b" {
			took += delay
		}
		miss[zone] = max(took-choice.Wait, choice.Wait-took)
		b.End(choice, false)
		b.FirstEventAfter(now.Add(took), choice)
	}
	t.Logf("the expected wait misses by %v in the own zone, %v in the other", miss["a"], miss["b"])
	requireEqual(t, miss["a"] < 3*time.Millisecond && miss["b"] < 3*time.Millisecond, true)
}
