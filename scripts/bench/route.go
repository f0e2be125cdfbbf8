package main

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrmodel"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	ratioUnit      = "ratio"
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
	estimateBytes  = 8 << 20
)

// routeCase is one scenario in which the policies are compared.
type routeCase struct {
	name    string
	engines int
	blocks  int
	// load is the number of requests per second per engine.
	load   float64
	adjust func(*lrmodel.Setup)
	window lrmodel.Window
}

func routeCases() []routeCase {
	warm := lrmodel.Between(warmUp, lrmodel.DefaultTraffic(1).Duration)
	after := lrmodel.Between(eventAt, eventAt+eventWindow)
	shift := func(s *lrmodel.Setup) { s.Traffic.ShiftAt = eventAt }
	lose := func(s *lrmodel.Setup) { s.CrashAt, s.OutageDuration = eventAt, eventWindow }
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

// withoutUpdates returns the case in which a router only uses its own answers and the load reports.
func (c routeCase) withoutUpdates() routeCase {
	adjust := c.adjust
	c.adjust = func(s *lrmodel.Setup) {
		if adjust != nil {
			adjust(s)
		}
		s.NoCacheUpdates = true
	}
	return c
}

func leastLoaded(*lrmodel.Fleet, int, uint64) lrroute.Placer { return lrroute.NewLeastLoadedPlacer() }

func oracle(fleet *lrmodel.Fleet, _ int, _ uint64) lrroute.Placer { return lrmodel.NewOracle(fleet) }

func nested(_ *lrmodel.Fleet, _ int, seed uint64) lrroute.Placer {
	return lrroute.NewNestedPlacer(lrroute.WithSeed(seed), lrroute.WithEstimateBytes(estimateBytes), lrroute.WithPlacementUpdates())
}

// nestedWithoutUpdates returns the same placer without placement updates from other instances.
func nestedWithoutUpdates(_ *lrmodel.Fleet, _ int, seed uint64) lrroute.Placer {
	return lrroute.NewNestedPlacer(lrroute.WithSeed(seed), lrroute.WithEstimateBytes(estimateBytes))
}

// run simulates the case with several seeds and summarizes all of them together.
func (c routeCase) run(policy lrmodel.NewPlacer) lrmodel.Summary {
	runs := make([][]lrmodel.ServedRequest, routeSeeds)
	for seed := range runs {
		setup := lrmodel.Setup{
			Engines: c.engines, CacheBlocks: c.blocks, Zones: 3, Costs: lrmodel.DefaultCosts(),
			Traffic: lrmodel.DefaultTraffic(c.load * float64(c.engines)), CacheEvents: true,
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
	results := make([][]figure, len(cases)+2)
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
	group.Go(func() error {
		results[len(cases)+1] = manyRoutersFigures()
		return nil
	})
	err := group.Wait()
	return append(slices.Concat(results...), costFigures()...), err
}

func (c routeCase) figures() []figure {
	base, best, ours := c.run(leastLoaded), c.run(oracle), c.run(nested)
	withoutUpdates := c.withoutUpdates().run(nestedWithoutUpdates)
	tail := min(tailTarget*best.TailFirstToken.Seconds(), tailOfBaseline*base.TailFirstToken.Seconds())
	return []figure{
		{c.name + ".hitRate", ours.HitRate, base.HitRate, hitTarget * best.HitRate, ratioUnit},
		{c.name + ".hitRateAlone", withoutUpdates.HitRate, base.HitRate, hitTarget * best.HitRate, ratioUnit},
		{c.name + ".wastedTokens", ours.Wasted, base.Wasted, wasteTarget * base.Wasted, ratioUnit},
		{c.name + ".tailFirstToken", ours.TailFirstToken.Seconds(), base.TailFirstToken.Seconds(), tail, "s"},
		{c.name + ".worstAccountTail", ours.WorstAccountTail.Seconds(), base.WorstAccountTail.Seconds(), tailTarget * best.WorstAccountTail.Seconds(), "s"},
	}
}

// restartFigures compares the first seconds after a simultaneous restart of all routers with the warm state.
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
		{c.name + ".hitRateFirstSecond", first.HitRate, base.HitRate, restartTarget * warm.HitRate, ratioUnit},
		{c.name + ".hitRateFirstTenSeconds", tenSeconds.HitRate, base.HitRate, restartTarget * warm.HitRate, ratioUnit},
	}
}

// manyRoutersFigures compares the policies when there are too many routers to report every placement to one another,
// so that a router only uses its own answers and the load reports.
func manyRoutersFigures() []figure {
	setup := lrmodel.Setup{
		Engines: 120, CacheBlocks: 80, Zones: 3, Costs: lrmodel.DefaultCosts(), NoCacheUpdates: true, Traffic: lrmodel.DefaultTraffic(72),
	}
	setup.Traffic.Accounts, setup.Traffic.Routers, setup.Traffic.CustomersPerRules = 40, 56, 20
	setup.Traffic.Duration = 2 * time.Minute
	window := lrmodel.Between(warmUp, setup.Traffic.Duration)
	base := lrmodel.Summarize(lrmodel.Run(setup, leastLoaded), window)
	best := lrmodel.Summarize(lrmodel.Run(setup, oracle), window)
	ours := lrmodel.Summarize(lrmodel.Run(setup, nestedWithoutUpdates), window)
	tail := min(tailTarget*best.TailFirstToken.Seconds(), tailOfBaseline*base.TailFirstToken.Seconds())
	return []figure{
		{"routers56Alone.hitRate", ours.HitRate, base.HitRate, hitTarget * best.HitRate, ratioUnit},
		{"routers56Alone.wastedTokens", ours.Wasted, base.Wasted, wasteTarget * base.Wasted, ratioUnit},
		{"routers56Alone.tailFirstToken", ours.TailFirstToken.Seconds(), base.TailFirstToken.Seconds(), tail, "s"},
	}
}
