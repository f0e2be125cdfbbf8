package lrmodel

import (
	"slices"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const testEstimateBytes = 4 << 20

func leastLoaded(*Fleet, int, uint64) lrroute.Placer { return lrroute.NewLeastLoadedPlacer() }

func newOracleOf(fleet *Fleet, _ int, _ uint64) lrroute.Placer { return NewOracle(fleet) }

func nested(options ...lrroute.NestedOption) NewPlacer {
	return func(_ *Fleet, _ int, seed uint64) lrroute.Placer {
		violated := func(invariant string) { panic("violated: " + invariant) }
		return lrroute.NewNestedPlacer(append([]lrroute.NestedOption{
			lrroute.WithSeed(seed), lrroute.WithEstimateBytes(testEstimateBytes), lrroute.WithViolationHandler(violated),
		}, options...)...)
	}
}

func testSetup(engines, blocks int, load float64) Setup {
	return Setup{
		Engines: engines, CacheBlocks: blocks, Zones: 3, Costs: DefaultCosts(), CacheEvents: true,
		Traffic: DefaultTraffic(load * float64(engines)),
	}
}

func warm() Window { return Between(time.Minute, 5*time.Minute) }

func requireAtLeast(t *testing.T, got, least float64, what string) {
	t.Helper()
	if got < least {
		t.Fatalf("%s: got %.4f, want at least %.4f", what, got, least)
	}
}

func TestPlacementIsCloseToOracle(t *testing.T) {
	cases := []struct {
		name   string
		setup  Setup
		window Window
	}{
		{"12 engines, 80 blocks", testSetup(12, 80, 0.7), warm()},
		{"12 engines, 40 blocks", testSetup(12, 40, 0.5), warm()},
		{"9 engines, 80 blocks", testSetup(9, 80, 0.5), warm()},
		{"60 engines, 80 blocks", testSetup(60, 80, 0.7), warm()},
		{"shift of hot prefixes", shifted(testSetup(12, 80, 0.5)), Between(150*time.Second, 180*time.Second)},
		{"engine crash", withCrash(testSetup(12, 80, 0.5)), Between(150*time.Second, 180*time.Second)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served := Run(c.setup, nested(lrroute.WithPlacementUpdates()))
			if len(served) != len(c.setup.Traffic.Trace()) {
				t.Fatalf("%d of %d requests were served", len(served), len(c.setup.Traffic.Trace()))
			}
			ours := Summarize(served, c.window)
			best := Summarize(Run(c.setup, newOracleOf), c.window)
			base := Summarize(Run(c.setup, leastLoaded), c.window)
			requireAtLeast(t, ours.HitRate, 0.95*best.HitRate, "hit rate")
			requireAtLeast(t, base.Wasted/3, ours.Wasted, "one third of the baseline's wasted tokens")
			requireAtLeast(t, base.TailFirstToken.Seconds()/2, ours.TailFirstToken.Seconds(), "half of the baseline's tail time to the first token")
		})
	}
}

func shifted(s Setup) Setup {
	s.Traffic.ShiftAt = 150 * time.Second
	return s
}

func withCrash(s Setup) Setup {
	s.CrashAt, s.OutageDuration = 150*time.Second, 30*time.Second
	return s
}

func TestSimultaneousRestartKeepsHitRate(t *testing.T) {
	setup := testSetup(12, 80, 0.5)
	setup.Traffic.Duration = 10 * time.Minute
	steady := Summarize(Run(setup, nested(lrroute.WithPlacementUpdates())), warm())
	setup.RestartEvery = 30 * time.Second
	first := Summarize(Run(setup, nested(lrroute.WithPlacementUpdates())), AfterEach(setup.RestartEvery, time.Second))
	requireAtLeast(t, first.HitRate, 0.9*steady.HitRate, "hit rate of the first second")
	setup.NoCacheUpdates = true
	withoutContents := Summarize(Run(setup, nested(lrroute.WithPlacementUpdates())), AfterEach(setup.RestartEvery, time.Second))
	requireAtLeast(t, 0.9*steady.HitRate, withoutContents.HitRate, "limit that a restart without the cache contents misses")
}

func TestPlacementUpdatesSustainHitRate(t *testing.T) {
	setup := testSetup(12, 40, 0.7)
	best := Summarize(Run(setup, newOracleOf), warm())
	setup.NoCacheUpdates = true
	withoutUpdates := Summarize(Run(setup, nested()), warm())
	requireAtLeast(t, 0.95*best.HitRate, withoutUpdates.HitRate, "limit that placement without updates misses")
	withUpdates := Summarize(Run(setup, nested(lrroute.WithPlacementUpdates())), warm())
	requireAtLeast(t, withUpdates.HitRate, 0.95*best.HitRate, "hit rate with placement updates alone")
}

func TestTailIsCloseToOracle(t *testing.T) {
	const seeds = 3
	ours, best := make([][]ServedRequest, seeds), make([][]ServedRequest, seeds)
	for seed := range seeds {
		setup := testSetup(12, 80, 0.5)
		setup.Traffic.Seed = uint64(seed) + 1
		ours[seed], best[seed] = Run(setup, nested(lrroute.WithPlacementUpdates())), Run(setup, newOracleOf)
	}
	target := 1.15 * Summarize(slices.Concat(best...), warm()).TailFirstToken.Seconds()
	requireAtLeast(t, target, Summarize(slices.Concat(ours...), warm()).TailFirstToken.Seconds(), "limit of the tail time to the first token")
}

func TestRunsAreDeterministic(t *testing.T) {
	setup := withCrash(testSetup(12, 40, 0.7))
	one, other := Run(setup, nested(lrroute.WithPlacementUpdates())), Run(setup, nested(lrroute.WithPlacementUpdates()))
	for k := range one {
		if one[k].FirstToken != other[k].FirstToken || one[k].Cached != other[k].Cached {
			t.Fatalf("request %s differs between two runs", one[k].Arrival.ID)
		}
	}
}
