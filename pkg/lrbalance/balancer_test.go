package lrbalance

import (
	"fmt"
	"testing"
	"time"
)

const testPrefill = 85

func newTestBalancer(seed uint64) *Balancer {
	return New(Options{PrefillPerMilli: testPrefill, Zone: "a", Seed: seed})
}

func newTestEngines(count int) []Engine {
	engines := make([]Engine, count)
	for n := range engines {
		engines[n] = Engine{ID: fmt.Sprint("e", n), Zone: string(rune('a' + n%3)), Slots: 32, Version: 1}
	}
	return engines
}

func newTestRequest(shared, own string) Request {
	return Request{
		Scope: "school/m", Tokens: 6000,
		Blocks: []Block{{ID: "rules", Tokens: 500}, {ID: shared, Tokens: 4500}, {ID: own, Tokens: 1000}},
	}
}

func TestInstancesAgreeOnTheHome(t *testing.T) {
	engines := newTestEngines(12)
	now := time.Unix(1000, 0)
	for n := range 20 {
		request := newTestRequest(fmt.Sprint("file", n), "x")
		first, ok := newTestBalancer(1).Choose(now, request, engines)
		requireEqual(t, ok, true)
		second, _ := newTestBalancer(2).Choose(now, request, engines)
		requireEqual(t, first.Engine.ID, second.Engine.ID)
	}
}

// rankedFirst returns the first engine in the order by hash.
func rankedFirst(b *Balancer, request Request, engines []Engine, isCached bool) Engine {
	p, candidates := b.newPlacement(time.Unix(1000, 0), request, engines)
	p.isCached = isCached
	return p.ranked(candidates)[0].engine
}

func TestHomesSpread(t *testing.T) {
	engines := newTestEngines(12)
	counts := map[string]int{}
	for n := range 1200 {
		home := rankedFirst(newTestBalancer(1), newTestRequest(fmt.Sprint("file", n), "x"), engines, true)
		requireEqual(t, home.Zone, "a")
		counts[home.ID]++
	}
	requireEqual(t, len(counts), 4)
	for id, c := range counts {
		requireEqual(t, fmt.Sprint(id, c > 200 && c < 400), fmt.Sprint(id, true))
	}
}

// TestHotBlockSpreadsOverEngines sends more requests for one file than one engine can compute.
func TestHotBlockSpreadsOverEngines(t *testing.T) {
	b := newTestBalancer(1)
	engines := newTestEngines(12)
	now := time.Unix(1000, 0)
	used := map[string]bool{}
	for n := range 60 {
		choice, _ := b.Choose(now, newTestRequest("hot", fmt.Sprint(n)), engines)
		used[choice.Engine.ID] = true
	}
	requireEqual(t, len(used) > 3, true)
}

// TestIdleEngineIsNotOverloaded lets 88 instances find one idle engine among busy ones before they receive one another's
// load reports, as when an engine has just loaded new weights while a third of all engines is down. The engine can
// compute in time as many requests as fill its slots twice.
func TestIdleEngineIsNotOverloaded(t *testing.T) {
	const instances, perInstance, slots = 88, 3, 16
	now := time.Unix(1000, 0)
	engines := newTestEngines(60)
	loads := map[string]Load{}
	for n := range engines {
		engines[n].Slots = slots
		loads[engines[n].ID] = Load{Waiting: 40_000, Running: slots}
	}
	delete(loads, "e7")
	sent := 0
	for n := range instances {
		b := newTestBalancer(uint64(n))
		b.SetOtherLoads(loads)
		for k := range perInstance {
			request := newTestRequest(fmt.Sprint("file", n, "-", k), "x")
			request.Instances = instances
			choice, _ := b.Choose(now, request, engines)
			if choice.Engine.ID == "e7" {
				sent++
			}
		}
	}
	requireEqual(t, fmt.Sprint(sent, " requests at the idle engine are few: ", sent <= 2*slots), fmt.Sprint(sent, " requests at the idle engine are few: true"))
	requireEqual(t, sent > 0, true)
}

// TestOnlyUsableEngineIsFound expects the one engine that can still start in time, also if it is not among those that
// are compared first.
func TestOnlyUsableEngineIsFound(t *testing.T) {
	engines := newTestEngines(60)
	loads := map[string]Load{}
	for n := range engines {
		engines[n].OutdatedFor = 4900 * time.Millisecond
		loads[engines[n].ID] = Load{Waiting: 100_000}
	}
	engines[33].Version, engines[33].OutdatedFor = 2, 0
	for seed := range uint64(20) {
		b := newTestBalancer(seed)
		b.SetOtherLoads(loads)
		request := newTestRequest(fmt.Sprint("file", seed), "x")
		request.Instances = 88
		choice, ok := b.Choose(time.Unix(1000, 0), request, engines)
		requireEqual(t, ok, true)
		requireEqual(t, choice.Engine.ID, "e33")
	}
}

// TestPlainCallsSpread lets many instances choose among many plain servers. Without shared blocks there is no order by
// hash.
func TestPlainCallsSpread(t *testing.T) {
	engines := newTestEngines(60)
	used := map[string]int{}
	for n := range 600 {
		choice, _ := newTestBalancer(uint64(n)).Choose(time.Unix(1000, 0), Request{Scope: "s", Instances: 88}, engines)
		used[choice.Engine.ID]++
	}
	for id, c := range used {
		requireEqual(t, fmt.Sprint(id, c < 60), fmt.Sprint(id, true))
	}
}

// TestLoadOfOthersCounts expects new requests to avoid an engine that another instance has filled.
func TestLoadOfOthersCounts(t *testing.T) {
	b := newTestBalancer(1)
	engines := newTestEngines(3)
	now := time.Unix(1000, 0)
	request := newTestRequest("file", "x")
	home := rankedFirst(b, request, engines, false).ID
	b.SetOtherLoads(map[string]Load{home: {Waiting: 200_000, Running: 40}})
	choice, _ := b.Choose(now, request, engines)
	requireEqual(t, choice.Engine.ID == home, false)
	b.SetOtherLoads(nil)
	requireEqual(t, b.Load(home), Load{})
}

func TestEngineOfOldWeights(t *testing.T) {
	cases := []struct {
		name    string
		waiting int
		since   time.Duration
		want    bool
	}{
		{"costs the same at first", 20_000, time.Second, true},
		{"costs more after the grace time", 20_000, 2 * time.Second, false},
		{"is used after the grace time when the other is full", 100_000, 2 * time.Second, true},
		{"takes nothing after the limit", 100_000, 6 * time.Second, false},
		{"takes nothing that would start after the limit", 400_000, 4950 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(1)
			b.SetOtherLoads(map[string]Load{"e0": {Waiting: c.waiting}})
			engines := newTestEngines(2)
			engines[0].Version, engines[1].OutdatedFor = 2, c.since
			choice, ok := b.Choose(time.Unix(1000, 0), newTestRequest("file", "x"), engines)
			requireEqual(t, ok, true)
			requireEqual(t, choice.Engine.ID == "e1", c.want)
		})
	}
}

func TestDrainingEngineTakesNothingWhileOthersCan(t *testing.T) {
	engines := newTestEngines(2)
	engines[0].IsDraining, engines[1].IsDraining = true, true
	b := newTestBalancer(1)
	_, ok := b.Choose(time.Unix(1000, 0), newTestRequest("file", "x"), engines)
	requireEqual(t, ok, true)
	engines[0].IsDraining = false
	choice, _ := b.Choose(time.Unix(1000, 0), newTestRequest("other", "x"), engines)
	requireEqual(t, choice.Engine.ID, "e0")
}

// TestUnreachableZoneIsAvoided expects requests to stay in the own zone until it is full while the other zones are
// unreachable.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	engines := newTestEngines(3)
	engines[1].IsZoneUnreachable, engines[2].IsZoneUnreachable = true, true
	b := newTestBalancer(1)
	for n := range 5 {
		choice, _ := b.Choose(time.Unix(1000, 0), Request{Scope: "s", Tokens: 100 * n}, engines)
		requireEqual(t, choice.Engine.ID, "e0")
	}
	b.SetOtherLoads(map[string]Load{"e0": {Waiting: 200_000}})
	choice, _ := b.Choose(time.Unix(1000, 0), Request{Scope: "s", Tokens: 100}, engines)
	requireEqual(t, choice.Engine.ID == "e0", false)
}

func TestNoEngineLeft(t *testing.T) {
	request := newTestRequest("file", "x")
	request.Excluded = map[string]bool{"e0": true}
	_, ok := newTestBalancer(1).Choose(time.Unix(1000, 0), request, newTestEngines(1))
	requireEqual(t, ok, false)
}

func TestLoadEndsWithTheRequest(t *testing.T) {
	b := newTestBalancer(1)
	now := time.Unix(1000, 0)
	engines := newTestEngines(3)
	first, _ := b.Choose(now, newTestRequest("file", "x"), engines)
	second, _ := b.Choose(now, newTestRequest("file", "y"), engines)
	b.FirstEvent(now, first)
	b.End(first, true)
	b.End(second, false)
	requireEqual(t, len(b.OwnLoads()), 0)
}

// TestBlockIsFetchedFromItsHolder lets one instance compute a file at one engine, and another instance send a request
// for it to a second engine.
func TestBlockIsFetchedFromItsHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(3)
	first, second := newTestBalancer(1), newTestBalancer(2)
	choice, _ := first.Choose(now, newTestRequest("file", "x"), engines)
	requireEqual(t, choice.Fetched, 0)
	updates, cursors := first.Updates(now, Cursors{}, true)
	requireEqual(t, len(updates), 0)
	first.FirstEvent(now, choice)
	updates, cursors = first.Updates(now, cursors, true)
	second.Merge(now, updates, false)
	updates, _ = first.Updates(now, cursors, true)
	requireEqual(t, len(updates), 0)
	request := newTestRequest("file", "y")
	request.Excluded = map[string]bool{}
	second.SetOtherLoads(map[string]Load{choice.Engine.ID: {Waiting: 200_000}})
	other, _ := second.Choose(now, request, engines)
	requireEqual(t, other.Engine.ID == choice.Engine.ID, false)
	requireEqual(t, other.Source, choice.Engine.ID)
	requireEqual(t, other.Fetched, 5000)
	requireEqual(t, other.Missing, 1000)
}

// TestNothingIsFetchedFromOtherWeights changes the weights of all engines but the one that holds a file.
func TestNothingIsFetchedFromOtherWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(3)
	b := newTestBalancer(1)
	choice, _ := b.Choose(now, newTestRequest("file", "x"), engines)
	b.FirstEvent(now, choice)
	for n := range engines {
		if engines[n].ID != choice.Engine.ID {
			engines[n].Version = 2
		}
	}
	for n := range engines {
		if engines[n].Version == 1 {
			engines[n].OutdatedFor = 10 * time.Second
		}
	}
	other, ok := b.Choose(now, newTestRequest("file", "y"), engines)
	requireEqual(t, ok, true)
	requireEqual(t, other.Source == choice.Engine.ID, false)
	requireEqual(t, other.Fetched, 0)
}

// TestFailedRequestLeavesNoEstimate expects nothing to be cached at an engine that did not compute the file.
func TestFailedRequestLeavesNoEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(1)
	b := newTestBalancer(1)
	first, _ := b.Choose(now, newTestRequest("file", "x"), engines)
	b.End(first, false)
	second, _ := b.Choose(now, newTestRequest("file", "y"), engines)
	requireEqual(t, second.Missing, first.Missing)
}

// TestNothingIsFetchedAfterARestart drops the estimate of an engine that held a file.
func TestNothingIsFetchedAfterARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(2)
	b := newTestBalancer(1)
	choice, _ := b.Choose(now, newTestRequest("file", "x"), engines)
	b.FirstEvent(now, choice)
	b.Forget(choice.Engine.ID)
	b.SetOtherLoads(map[string]Load{choice.Engine.ID: {Waiting: 200_000}})
	other, _ := b.Choose(now, newTestRequest("file", "y"), engines)
	requireEqual(t, other.Fetched, 0)
}

// TestColdPromptsHaveOneHome lets instances of two zones that have exchanged no updates place the same files, as after
// an update of the weights or a restart of all instances.
func TestColdPromptsHaveOneHome(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(12)
	used := map[string]bool{}
	for n := range 100 {
		request := newTestRequest(fmt.Sprint("file", n), "x")
		far := New(Options{PrefillPerMilli: testPrefill, Zone: "b", Seed: 2})
		before, _ := far.Choose(now, request, engines)
		choice, _ := newTestBalancer(1).Choose(now, request, engines)
		requireEqual(t, choice.Engine.ID, before.Engine.ID)
		used[choice.Engine.ID] = true
	}
	requireEqual(t, len(used), len(engines))
}

// TestWarmPromptsStayInTheZone expects an engine of the own zone, or the holder itself, once an engine of another zone
// is known to hold the file.
func TestWarmPromptsStayInTheZone(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(12)
	for n := range 100 {
		request := newTestRequest(fmt.Sprint("file", n), "x")
		b := newTestBalancer(1)
		first, _ := b.Choose(now, request, engines)
		b.FirstEvent(now, first)
		b.End(first, true)
		other := New(Options{PrefillPerMilli: testPrefill, Zone: "c", Seed: 3})
		updates, _ := b.Updates(now, Cursors{}, true)
		other.Merge(now, updates, true)
		choice, _ := other.Choose(now, request, engines)
		requireEqual(t, choice.Missing, 1000)
		requireEqual(t, choice.Engine.Zone == "c" || choice.Engine.ID == first.Engine.ID, true)
	}
}

// TestUpdatesOfOtherZonesStayWithinTheZone guards against updates that circulate between availability zones.
func TestUpdatesOfOtherZonesStayWithinTheZone(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(1)
	b.Merge(now, []CacheUpdate{{Engine: "e0", Key: 1}}, true)
	b.Merge(now, []CacheUpdate{{Engine: "e0", Key: 2}}, false)
	across, _ := b.Updates(now, Cursors{}, false)
	within, _ := b.Updates(now, Cursors{}, true)
	requireEqual(t, len(across), 1)
	requireEqual(t, across[0].Key, 2)
	requireEqual(t, len(within), 2)
	late, _ := b.Updates(now.Add(updateTTL), Cursors{}, true)
	requireEqual(t, len(late), 0)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestBlockInUseStaysKnownElsewhere uses a file at one instance for longer than the TTL of an estimate. The other
// instances receive its updates and must still know who holds the file.
func TestBlockInUseStaysKnownElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(3)
	first, second, third := newTestBalancer(1), newTestBalancer(2), newTestBalancer(3)
	var toSecond, toThird Cursors
	reported := 0
	for n := range 15 {
		now = now.Add(time.Second)
		choice, _ := first.Choose(now, newTestRequest("file", fmt.Sprint(n)), engines)
		first.FirstEvent(now, choice)
		first.End(choice, true)
		updates, cursors := first.Updates(now, toSecond, true)
		toSecond = cursors
		reported += len(updates)
		second.Merge(now, updates, false)
		updates, toThird = second.Updates(now, toThird, true)
		third.Merge(now, updates, false)
	}
	for _, b := range []*Balancer{second, third} {
		choice, _ := b.Choose(now, newTestRequest("file", "y"), engines)
		requireEqual(t, choice.Missing, 1000)
		requireEqual(t, choice.Fetched, 0)
	}
	// Two shared blocks, each reported again every four seconds.
	requireEqual(t, reported, 8)
}
