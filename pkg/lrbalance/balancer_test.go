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
		Parts: []Part{{ID: "rules", Tokens: 500}, {ID: shared, Tokens: 4500}, {ID: own, Tokens: 1000}},
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

// rankedFirst returns the engine that goes before all others by hash.
func rankedFirst(b *Balancer, request Request, engines []Engine, isKnown bool) Engine {
	p, candidates := b.look(time.Unix(1000, 0), request, engines)
	p.isKnown = isKnown
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

// TestHotPartGetsMoreHolders answers one file that is asked for far more than one engine can compute.
func TestHotPartGetsMoreHolders(t *testing.T) {
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

// TestFreshEngineIsNotSwamped has 88 instances find an idle engine among busy ones before they hear of one another, as when an engine
// has just taken new weights while a third of all is down. Two rounds of its slots are as much as it can compute in time.
func TestFreshEngineIsNotSwamped(t *testing.T) {
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
		b.SetOthers(loads)
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

// TestOnlyUsableEngineIsFound takes the one engine that can still begin in time, though it is none of those that are compared first.
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
		b.SetOthers(loads)
		request := newTestRequest(fmt.Sprint("file", seed), "x")
		request.Instances = 88
		choice, ok := b.Choose(time.Unix(1000, 0), request, engines)
		requireEqual(t, ok, true)
		requireEqual(t, choice.Engine.ID, "e33")
	}
}

// TestPlainCallsSpread has many instances call one of many plain servers, whose order says nothing.
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

// TestLoadOfOthersCounts keeps new work away from an engine that another instance has filled.
func TestLoadOfOthersCounts(t *testing.T) {
	b := newTestBalancer(1)
	engines := newTestEngines(3)
	now := time.Unix(1000, 0)
	request := newTestRequest("file", "x")
	home := rankedFirst(b, request, engines, false).ID
	b.SetOthers(map[string]Load{home: {Waiting: 200_000, Running: 40}})
	choice, _ := b.Choose(now, request, engines)
	requireEqual(t, choice.Engine.ID == home, false)
	b.SetOthers(nil)
	requireEqual(t, b.Load(home), Load{})
}

func TestEngineOfOldWeights(t *testing.T) {
	cases := []struct {
		name    string
		waiting int
		since   time.Duration
		want    bool
	}{
		{"is as good at first", 20_000, time.Second, true},
		{"costs later", 20_000, 2 * time.Second, false},
		{"is used later when the other is full", 100_000, 2 * time.Second, true},
		{"takes nothing in the end", 100_000, 6 * time.Second, false},
		{"takes nothing that would begin too late", 400_000, 4950 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(1)
			b.SetOthers(map[string]Load{"e0": {Waiting: c.waiting}})
			engines := newTestEngines(2)
			engines[0].Version, engines[1].OutdatedFor = 2, c.since
			choice, ok := b.Choose(time.Unix(1000, 0), newTestRequest("file", "x"), engines)
			requireEqual(t, ok, true)
			requireEqual(t, choice.Engine.ID == "e1", c.want)
		})
	}
}

func TestClosingEngineTakesNothingWhileOthersCan(t *testing.T) {
	engines := newTestEngines(2)
	engines[0].IsClosing, engines[1].IsClosing = true, true
	b := newTestBalancer(1)
	_, ok := b.Choose(time.Unix(1000, 0), newTestRequest("file", "x"), engines)
	requireEqual(t, ok, true)
	engines[0].IsClosing = false
	choice, _ := b.Choose(time.Unix(1000, 0), newTestRequest("other", "x"), engines)
	requireEqual(t, choice.Engine.ID, "e0")
}

// TestZoneThatIsCutOff keeps requests in the own zone until it is full.
func TestZoneThatIsCutOff(t *testing.T) {
	engines := newTestEngines(3)
	engines[1].IsDoubtful, engines[2].IsDoubtful = true, true
	b := newTestBalancer(1)
	for n := range 5 {
		choice, _ := b.Choose(time.Unix(1000, 0), Request{Scope: "s", Tokens: 100 * n}, engines)
		requireEqual(t, choice.Engine.ID, "e0")
	}
	b.SetOthers(map[string]Load{"e0": {Waiting: 200_000}})
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
	requireEqual(t, len(b.Own()), 0)
}

// TestPartIsFetchedFromItsHolder lets one instance compute a file, and sends another one's request to a second engine.
func TestPartIsFetchedFromItsHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(3)
	first, second := newTestBalancer(1), newTestBalancer(2)
	choice, _ := first.Choose(now, newTestRequest("file", "x"), engines)
	requireEqual(t, choice.Fetched, 0)
	news, cursors := first.News(now, Cursors{}, true)
	requireEqual(t, len(news), 0)
	first.FirstEvent(now, choice)
	news, cursors = first.News(now, cursors, true)
	second.Heard(now, news, false)
	news, _ = first.News(now, cursors, true)
	requireEqual(t, len(news), 0)
	request := newTestRequest("file", "y")
	request.Excluded = map[string]bool{}
	second.SetOthers(map[string]Load{choice.Engine.ID: {Waiting: 200_000}})
	other, _ := second.Choose(now, request, engines)
	requireEqual(t, other.Engine.ID == choice.Engine.ID, false)
	requireEqual(t, other.Source, choice.Engine.ID)
	requireEqual(t, other.Fetched, 5000)
	requireEqual(t, other.Missing, 1000)
}

// TestNothingIsFetchedFromOtherWeights changes the weights of the engine that holds a file.
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

// TestRefusedRequestLeavesNoBelief expects nothing of an engine that did not compute the file.
func TestRefusedRequestLeavesNoBelief(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(1)
	b := newTestBalancer(1)
	first, _ := b.Choose(now, newTestRequest("file", "x"), engines)
	b.End(first, false)
	second, _ := b.Choose(now, newTestRequest("file", "y"), engines)
	requireEqual(t, second.Missing, first.Missing)
}

// TestNothingIsFetchedAfterARestart forgets what an engine held before.
func TestNothingIsFetchedAfterARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(2)
	b := newTestBalancer(1)
	choice, _ := b.Choose(now, newTestRequest("file", "x"), engines)
	b.FirstEvent(now, choice)
	b.Forget(choice.Engine.ID)
	b.SetOthers(map[string]Load{choice.Engine.ID: {Waiting: 200_000}})
	other, _ := b.Choose(now, newTestRequest("file", "y"), engines)
	requireEqual(t, other.Fetched, 0)
}

// TestColdPromptsHaveOneHome lets instances of two zones that have not heard of each other place the same files, as after new
// weights or a restart of all.
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

// TestWarmPromptsStayInTheZone uses an engine of the own zone once another zone's is known to hold the file.
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
		news, _ := b.News(now, Cursors{}, true)
		other.Heard(now, news, true)
		choice, _ := other.Choose(now, request, engines)
		requireEqual(t, choice.Missing, 1000)
		requireEqual(t, choice.Engine.Zone == "c" || choice.Engine.ID == first.Engine.ID, true)
	}
}

// TestNewsOfOtherZonesStayWithinTheZone keeps news from going round between availability zones.
func TestNewsOfOtherZonesStayWithinTheZone(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(1)
	b.Heard(now, []Holding{{Engine: "e0", Key: 1}}, true)
	b.Heard(now, []Holding{{Engine: "e0", Key: 2}}, false)
	across, _ := b.News(now, Cursors{}, false)
	within, _ := b.News(now, Cursors{}, true)
	requireEqual(t, len(across), 1)
	requireEqual(t, across[0].Key, 2)
	requireEqual(t, len(within), 2)
	late, _ := b.News(now.Add(newsFor), Cursors{}, true)
	requireEqual(t, len(late), 0)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestPartInUseStaysKnownElsewhere keeps a file in use at one instance for longer than beliefs last. The other instances, which
// hear its news, go on knowing who holds the file.
func TestPartInUseStaysKnownElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := newTestEngines(3)
	first, second, third := newTestBalancer(1), newTestBalancer(2), newTestBalancer(3)
	var toSecond, toThird Cursors
	told := 0
	for n := range 15 {
		now = now.Add(time.Second)
		choice, _ := first.Choose(now, newTestRequest("file", fmt.Sprint(n)), engines)
		first.FirstEvent(now, choice)
		first.End(choice, true)
		news, cursors := first.News(now, toSecond, true)
		toSecond = cursors
		told += len(news)
		second.Heard(now, news, false)
		news, toThird = second.News(now, toThird, true)
		third.Heard(now, news, false)
	}
	for _, b := range []*Balancer{second, third} {
		choice, _ := b.Choose(now, newTestRequest("file", "y"), engines)
		requireEqual(t, choice.Missing, 1000)
		requireEqual(t, choice.Fetched, 0)
	}
	// Two shared parts, told again each four seconds.
	requireEqual(t, told, 8)
}
