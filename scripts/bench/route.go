package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrmodel"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	routeParallel  = 4
	routeSeeds     = 3
	hitTarget      = 0.95
	wasteTarget    = 1.0 / 3
	tailTarget     = 1.15
	tailOfBaseline = 0.5
	restartTarget  = 0.9
	restartPeriod  = 30 * time.Second
	warmUp         = time.Minute
	eventAt        = 150 * time.Second
	eventWindow    = 30 * time.Second
	beliefBytes    = 8 << 20
)

// routeCase is one scenario in which the policies are compared.
type routeCase struct {
	name    string
	engines int
	pieces  int
	// load is the number of requests a second for each engine.
	load   float64
	adjust func(*lrmodel.Setup)
	window lrmodel.Window
}

func routeCases() []routeCase {
	warm := lrmodel.Between(warmUp, lrmodel.DefaultTraffic(1).Duration)
	after := lrmodel.Between(eventAt, eventAt+eventWindow)
	shift := func(s *lrmodel.Setup) { s.Traffic.ShiftAt = eventAt }
	lose := func(s *lrmodel.Setup) { s.Lose, s.LostFor = eventAt, eventWindow }
	return []routeCase{
		{"engines12Pieces80Load50", 12, 80, 0.5, nil, warm},
		{"engines12Pieces80Load70", 12, 80, 0.7, nil, warm},
		{"engines12Pieces40Load50", 12, 40, 0.5, nil, warm},
		{"engines12Pieces40Load70", 12, 40, 0.7, nil, warm},
		{"engines9Pieces80Load50", 9, 80, 0.5, nil, warm},
		{"engines9Pieces80Load70", 9, 80, 0.7, nil, warm},
		{"engines60Pieces80Load70", 60, 80, 0.7, nil, warm},
		{"shiftOfHotPrefixes", 12, 80, 0.5, shift, after},
		{"engineLost", 12, 80, 0.5, lose, after},
	}
}

func leastLoaded(*lrmodel.Fleet, int, uint64) lrroute.Placer { return lrroute.NewLeastLoaded() }

func oracle(fleet *lrmodel.Fleet, _ int, _ uint64) lrroute.Placer { return lrmodel.NewOracle(fleet) }

func nested(_ *lrmodel.Fleet, _ int, seed uint64) lrroute.Placer {
	return lrroute.NewNested(lrroute.WithSeed(seed), lrroute.WithBeliefBytes(beliefBytes), lrroute.WithNotes())
}

// nestedAlone is the same placer without notes from the other instances.
func nestedAlone(_ *lrmodel.Fleet, _ int, seed uint64) lrroute.Placer {
	return lrroute.NewNested(lrroute.WithSeed(seed), lrroute.WithBeliefBytes(beliefBytes))
}

// run plays the case with several seeds and sums them up together.
func (c routeCase) run(policy lrmodel.NewPlacer) lrmodel.Summary {
	runs := make([][]lrmodel.Served, routeSeeds)
	for seed := range runs {
		setup := lrmodel.Setup{
			Engines: c.engines, CachePieces: c.pieces, Zones: 3, Costs: lrmodel.DefaultCosts(),
			Traffic: lrmodel.DefaultTraffic(c.load * float64(c.engines)), Events: true,
		}
		setup.Traffic.Seed = uint64(seed + 1)
		if c.adjust != nil {
			c.adjust(&setup)
		}
		runs[seed] = lrmodel.Run(setup, policy)
	}
	return lrmodel.Summarize(slices.Concat(runs...), c.window)
}

func measureRoute(context.Context) ([]figure, error) {
	cases := routeCases()
	results := make([][]figure, len(cases)+1)
	var group errgroup.Group
	group.SetLimit(routeParallel)
	for n, c := range cases {
		group.Go(func() error {
			results[n] = c.figures()
			return nil
		})
	}
	group.Go(func() error {
		results[len(cases)] = restartFigures()
		return nil
	})
	err := group.Wait()
	return append(slices.Concat(results...), costFigures()...), err
}

func (c routeCase) figures() []figure {
	base, best, ours := c.run(leastLoaded), c.run(oracle), c.run(nested)
	alone := c.run(nestedAlone)
	tail := min(tailTarget*best.TailFirstToken.Seconds(), tailOfBaseline*base.TailFirstToken.Seconds())
	return []figure{
		{c.name + ".hitRate", ours.HitRate, base.HitRate, hitTarget * best.HitRate, "ratio"},
		{c.name + ".hitRateWithoutNotes", alone.HitRate, base.HitRate, hitTarget * best.HitRate, "ratio"},
		{c.name + ".wastedTokens", ours.Wasted, base.Wasted, wasteTarget * base.Wasted, "ratio"},
		{c.name + ".tailFirstToken", ours.TailFirstToken.Seconds(), base.TailFirstToken.Seconds(), tail, "s"},
		{c.name + ".worstAccountTail", ours.WorstAccount.Seconds(), base.WorstAccount.Seconds(), tailTarget * best.WorstAccount.Seconds(), "s"},
	}
}

// restartFigures compares the first second after all routers have restarted with the warm state.
func restartFigures() []figure {
	c := routeCase{"herdRestart", 12, 80, 0.5, nil, lrmodel.Between(warmUp, lrmodel.DefaultTraffic(1).Duration)}
	warm := c.run(nested)
	base := c.run(leastLoaded)
	c.adjust = func(s *lrmodel.Setup) { s.RestartEvery = restartPeriod }
	c.window = lrmodel.AfterEach(restartPeriod, time.Second)
	first := c.run(nested)
	c.window = lrmodel.AfterEach(restartPeriod, restartPeriod/3)
	tenSeconds := c.run(nested)
	return []figure{
		{c.name + ".hitRateFirstSecond", first.HitRate, base.HitRate, restartTarget * warm.HitRate, "ratio"},
		{c.name + ".hitRateFirstTenSeconds", tenSeconds.HitRate, base.HitRate, restartTarget * warm.HitRate, "ratio"},
	}
}

// costFigures measures the decision and the hashing themselves.
func costFigures() []figure {
	const accounts = 16000
	small, large := placementCost(9, accounts), placementCost(900, accounts)
	return []figure{
		{"placementTime", perOperation(large), perOperation(small), 10000, "ns"},
		{"placementTimeRatio", perOperation(large) / perOperation(small), 1, 1.3, "ratio"},
		{"placementAllocations", float64(large.AllocsPerOp()), float64(small.AllocsPerOp()), 2, "allocations"},
		{"chainHashing", chainSpeed(), 0, 0, "MB/s"},
	}
}

func perOperation(r testing.BenchmarkResult) float64 {
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// placementCost measures a placement with its answer taken off, before the given number of engines.
func placementCost(engines, accounts int) testing.BenchmarkResult {
	traffic := lrmodel.DefaultTraffic(2000)
	traffic.Accounts, traffic.AccountSkew, traffic.Duration = accounts, 0.6, 20*time.Second
	trace := traffic.Trace()
	now := time.Unix(1_000_000, 0)
	list := make([]lrroute.Engine, 0, engines)
	for n := range engines {
		list = append(list, lrroute.Engine{Name: fmt.Sprintf("engine-%03d", n), ReportedAt: now, Incarnation: "1"})
	}
	placer := lrroute.NewNested(lrroute.WithSeed(1))
	placer.SetEngines(now, lrmodel.Model, list)
	return testing.Benchmark(func(b *testing.B) {
		b.Helper()
		b.ReportAllocs()
		for n := range b.N {
			a := trace[n%len(trace)]
			request := lrroute.Request{ID: a.ID, Scope: a.Scope, Chain: a.Chain, Tokens: a.Tokens}
			at := now.Add(time.Duration(n) * time.Millisecond)
			placement, _ := placer.Place(at, request)
			b.StopTimer()
			placer.Learn(at, lrroute.Feedback{Engine: placement.Engine, Request: request})
			placer.Finish(at, placement.Engine, request)
			b.StartTimer()
		}
	})
}

func chainSpeed() float64 {
	prompt := strings.Repeat("The rules of the trust. ", 11*lrprefix.PieceBytes/24+1)
	result := testing.Benchmark(func(b *testing.B) {
		b.Helper()
		b.SetBytes(int64(len(prompt)))
		for range b.N {
			_ = lrprefix.Chain(lrprefix.ID{}, prompt)
		}
	})
	return float64(result.Bytes) * float64(result.N) / 1e6 / result.T.Seconds()
}
