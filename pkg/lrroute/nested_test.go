package lrroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const testModel = "award-review"

func testStart() time.Time { return time.Unix(1_700_000_000, 0) }

// testChain returns a chain of the given depth whose blocks after the shared ones depend on the branch.
func testChain(account string, shared, depth, branch int) []lrprefix.ID {
	id := lrprefix.Scope{Account: account, Model: testModel, Version: "1"}.Salt()
	chain := make([]lrprefix.ID, 0, depth)
	for n := range depth {
		seed := uint64(n)
		if n >= shared {
			seed += uint64(branch+1) << 32
		}
		generator := rand.NewPCG(blockKey(id), seed)
		for k := range id {
			id[k] = byte(generator.Uint64())
		}
		chain = append(chain, id)
	}
	return chain
}

func testRequest(id string, chain []lrprefix.ID) Request {
	return Request{
		ID: id, Scope: lrprefix.Scope{Account: "parish-office", Model: testModel, Version: "1"}, Chain: chain,
		Tokens: len(chain)*lrprefix.BlockTokens + 300, MaxOutputTokens: 100,
	}
}

func testEngines(count int, at time.Time) []Engine {
	engines := make([]Engine, 0, count)
	for n := range count {
		engines = append(engines, Engine{
			Name: fmt.Sprintf("engine-%03d", n), Zone: "zone-a", Incarnation: fmt.Sprintf("%d/1", n), ReportedAt: at,
		})
	}
	return engines
}

func newTestNested(engines int, options ...NestedOption) *NestedPlacer {
	violated := WithViolationHandler(func(invariant string) { panic("violated: " + invariant) })
	n := NewNestedPlacer(append([]NestedOption{WithSeed(1), WithEstimateBytes(1 << 20), WithPlacementUpdates(), violated}, options...)...)
	n.SetEngines(testStart(), testModel, testEngines(engines, testStart()))
	return n
}

func mustPlace(t *testing.T, n *NestedPlacer, now time.Time, request Request) Placement {
	t.Helper()
	placement, ok := n.Place(now, request)
	if !ok {
		t.Fatalf("request %s was not placed", request.ID)
	}
	return placement
}

// mustServe places the request and ends it with a response after a second.
func mustServe(t *testing.T, n *NestedPlacer, now time.Time, request Request) Placement {
	t.Helper()
	placement := mustPlace(t, n, now, request)
	n.Learn(now.Add(time.Second), Feedback{
		Engine: placement.Engine, Request: request, CachedTokens: placement.ExpectedCachedTokens, TimeToFirstToken: time.Second,
	})
	n.Finish(now.Add(time.Second), placement.Engine, request)
	return placement
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestRepeatedPromptReturnsToItsEngine(t *testing.T) {
	n := newTestNested(900)
	chain := testChain("parish-office", 6, 11, 1)
	first := mustServe(t, n, testStart(), testRequest("1", chain))
	second := mustServe(t, n, testStart().Add(2*time.Second), testRequest("2", chain))
	requireEqual(t, second.Engine, first.Engine, "engine")
	requireEqual(t, second.ExpectedCachedTokens, len(chain)*lrprefix.BlockTokens, "expected cached tokens")
}

func TestSimultaneousColdRequestsShareOneEngine(t *testing.T) {
	n := newTestNested(900)
	chain := testChain("parish-office", 6, 11, 1)
	first := mustPlace(t, n, testStart(), testRequest("first", chain))
	for k := range 10 {
		placement := mustPlace(t, n, testStart(), testRequest(fmt.Sprint(k), chain))
		requireEqual(t, placement.Engine, first.Engine, "engine")
	}
}

func TestInstancesAgreeWithoutMessages(t *testing.T) {
	one, other := newTestNested(900, WithSeed(1)), newTestNested(900, WithSeed(2))
	for branch := range 50 {
		request := testRequest(fmt.Sprint(branch), testChain("parish-office", 0, 11, branch))
		now := testStart().Add(time.Duration(branch) * 5 * time.Second)
		requireEqual(t, mustServe(t, one, now, request).Engine, mustServe(t, other, now, request).Engine, "engine")
	}
}

func TestRestartClearsCacheEstimate(t *testing.T) {
	cases := []struct {
		name    string
		restart func(n *NestedPlacer, engine int, now time.Time)
	}{
		{"seen in a load report", func(n *NestedPlacer, engine int, now time.Time) {
			engines := testEngines(12, now)
			engines[engine].Incarnation = "new"
			n.SetEngines(now, testModel, engines)
		}},
		{"seen in a response", func(n *NestedPlacer, engine int, now time.Time) {
			n.Learn(now, Feedback{Engine: testEngines(12, now)[engine].Name, Incarnation: "new", Request: testRequest("x", nil)})
		}},
		{"seen in an update", func(n *NestedPlacer, engine int, now time.Time) {
			n.ApplyPlacementUpdates(now, []PlacementUpdate{{Engine: testEngines(12, now)[engine].Name, Incarnation: "new", Model: testModel}})
		}},
	}
	for _, w := range cases {
		t.Run(w.name, func(t *testing.T) {
			n := newTestNested(12)
			chain := testChain("parish-office", 6, 11, 1)
			first := mustServe(t, n, testStart(), testRequest("1", chain))
			var index int
			_, _ = fmt.Sscanf(first.Engine, "engine-%d", &index)
			now := testStart().Add(2 * time.Second)
			w.restart(n, index, now)
			second := mustPlace(t, n, now, testRequest("2", chain))
			requireEqual(t, second.ExpectedCachedTokens, 0, "tokens expected to be cached by an ended incarnation")
			n.Learn(now, Feedback{Engine: first.Engine, Incarnation: fmt.Sprintf("%d/1", index), Request: testRequest("1", chain), CachedTokens: 22000})
			requireEqual(t, n.engines[n.byName[first.Engine]].Incarnation, "new", "incarnation after a late response of the ended one")
		})
	}
}

func TestUnusableEnginesAreNotChosen(t *testing.T) {
	n := newTestNested(3)
	engines := testEngines(3, testStart())
	engines[0].Unreachable = true
	n.SetEngines(testStart(), testModel, engines)
	request := testRequest("1", testChain("parish-office", 6, 11, 1))
	request.Excluded = []string{engines[1].Name}
	for range 20 {
		requireEqual(t, mustServe(t, n, testStart(), request).Engine, engines[2].Name, "engine")
	}
	request.Excluded = []string{engines[1].Name, engines[2].Name}
	_, ok := n.Place(testStart(), request)
	requireEqual(t, ok, false, "placed without a usable engine")
}

func TestAccountsShareNoBlocks(t *testing.T) {
	n := newTestNested(1)
	_ = mustServe(t, n, testStart(), testRequest("1", testChain("parish-office", 6, 11, 1)))
	other := mustServe(t, n, testStart(), testRequest("2", testChain("north-school", 6, 11, 1)))
	requireEqual(t, other.ExpectedCachedTokens, 0, "cached tokens expected from another account")
}

func TestFinishLeavesNoLoad(t *testing.T) {
	n := newTestNested(12)
	random := rand.New(rand.NewPCG(1, 2))
	type placed struct {
		engine  string
		request Request
	}
	var running []placed
	now := testStart()
	for k := range 2000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		request := testRequest(fmt.Sprint(k), testChain("parish-office", 6, 11, random.IntN(50)))
		running = append(running, placed{mustPlace(t, n, now, request).Engine, request})
		if random.IntN(3) == 0 {
			n.SetEngines(now, testModel, testEngines(12, now.Add(-100*time.Millisecond)))
		}
		for len(running) > random.IntN(30) {
			done := running[0]
			running = running[1:]
			if random.IntN(2) == 0 {
				n.Learn(now, Feedback{Engine: done.engine, Request: done.request})
			}
			n.Finish(now, done.engine, done.request)
			n.Finish(now, done.engine, done.request)
		}
	}
	for _, p := range running {
		n.Finish(now, p.engine, p.request)
	}
	requireEqual(t, len(n.inFlight), 0, "requests in flight")
	n.SetEngines(now, testModel, testEngines(12, now))
	_ = n.TakePlacementUpdates(now, 0)
	for k := range n.engines {
		requireEqual(t, n.engines[k].queueWait(now), 0, "queue of an idle engine")
	}
}
