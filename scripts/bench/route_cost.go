package main

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderrouter/lavenderrouter/internal/lrmodel"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// costFigures measures the cost of placement decisions, gossip updates and hashing.
func costFigures() []figure {
	const accounts = 16000
	small, large := placementCost(9, accounts), placementCost(900, accounts)
	return []figure{
		{"placementTime", perOperation(large), perOperation(small), 10000, "ns"},
		{"placementTimeRatio", perOperation(large) / perOperation(small), 1, 1.3, ratioUnit},
		{"placementAllocations", float64(large.AllocsPerOp()), float64(small.AllocsPerOp()), 2, "allocations"},
		{"answerTime", perOperation(answerCost(900, accounts)), math.NaN(), math.NaN(), "ns"},
		{"publishTime", perOperation(publishCost(30, 30)), math.NaN(), math.NaN(), "ns"},
		{"chainHashing", chainSpeed(), math.NaN(), math.NaN(), "MB/s"},
		{"placementNoteBytes", placementUpdateBytes(), math.NaN(), math.NaN(), "bytes"},
		{"loadNoteBytes", loadUpdateBytes(), math.NaN(), math.NaN(), "bytes"},
		{"pieceBytes", lrroute.BlockEntryBytes, math.NaN(), math.NaN(), "bytes"},
	}
}

func perOperation(r testing.BenchmarkResult) float64 {
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// costTrace returns requests of the given number of accounts, and a placer that knows the given number of engines.
func costTrace(engines, accounts int) ([]lrroute.Request, *lrroute.NestedPlacer, time.Time) {
	traffic := lrmodel.DefaultTraffic(2000)
	traffic.Accounts, traffic.AccountSkew, traffic.Duration = accounts, 0.6, 20*time.Second
	trace := traffic.Trace()
	requests := make([]lrroute.Request, 0, len(trace))
	for _, a := range trace {
		requests = append(requests, lrroute.Request{ID: a.ID, Scope: a.Scope, Chain: a.Chain, Tokens: a.Tokens})
	}
	now := time.Unix(1_000_000, 0)
	placer := lrroute.NewNestedPlacer(lrroute.WithSeed(1))
	placer.SetEngines(now, lrmodel.Model, costEngines(0, engines, now))
	return requests, placer, now
}

func costEngines(first, count int, at time.Time) []lrroute.Engine {
	list := make([]lrroute.Engine, 0, count)
	for n := range count {
		list = append(list, lrroute.Engine{Name: fmt.Sprintf("engine-%03d", first+n), ReportedAt: at, Incarnation: "1"})
	}
	return list
}

// placementCost measures a placement without the processing of its answer.
func placementCost(engines, accounts int) testing.BenchmarkResult {
	return timePlacer(engines, accounts, true)
}

// answerCost measures the processing of an answer and of the end of its request.
func answerCost(engines, accounts int) testing.BenchmarkResult {
	return timePlacer(engines, accounts, false)
}

// timePlacer measures placements, or the processing of their answers.
func timePlacer(engines, accounts int, placements bool) testing.BenchmarkResult {
	requests, placer, now := costTrace(engines, accounts)
	return testing.Benchmark(func(b *testing.B) {
		b.Helper()
		b.ReportAllocs()
		for n := range b.N {
			request := requests[n%len(requests)]
			at := now.Add(time.Duration(n) * time.Millisecond)
			if !placements {
				b.StopTimer()
			}
			placement, _ := placer.Place(at, request)
			if placements {
				b.StopTimer()
			} else {
				b.StartTimer()
			}
			placer.Learn(at, lrroute.Feedback{Engine: placement.Engine, Request: request})
			placer.Finish(at, placement.Engine, request)
			b.StartTimer()
		}
	})
}

// publishCost measures the processing of one round of load reports of all models.
func publishCost(models, enginesPerModel int) testing.BenchmarkResult {
	now := time.Unix(1_000_000, 0)
	placer := lrroute.NewNestedPlacer(lrroute.WithSeed(1))
	return testing.Benchmark(func(b *testing.B) {
		b.Helper()
		for n := range b.N {
			at := now.Add(time.Duration(n) * time.Second)
			for m := range models {
				placer.SetEngines(at, fmt.Sprint("model-", m), costEngines(m*enginesPerModel, enginesPerModel, at))
			}
		}
	})
}

func placementUpdateBytes() float64 {
	update := &lrpeerpb.PlacementNote{
		Engine: "engine-gulf-south-a-12", Incarnation: "6f1c2a34-5b6d-4e7f-8a9b-0c1d2e3f4a5b", Model: "award-review",
		Chain: make([]byte, 11*lrprefix.IDBytes), Tokens: 22300, Missing: 4300, AgeMillis: 50,
	}
	return float64(proto.Size(&lrpeerpb.ShareRequest{Placements: []*lrpeerpb.PlacementNote{update}}))
}

func loadUpdateBytes() float64 {
	update := &lrpeerpb.LoadNote{
		Name: "engine-gulf-south-a-12", Incarnation: "6f1c2a34-5b6d-4e7f-8a9b-0c1d2e3f4a5b", QueuedTokens: 22300,
		Running: 12, AgeMillis: 50,
	}
	return float64(proto.Size(&lrpeerpb.ShareRequest{Loads: []*lrpeerpb.LoadNote{update}}))
}

func chainSpeed() float64 {
	prompt := strings.Repeat("The rules of the trust. ", 11*lrprefix.BlockBytes/24+1)
	result := testing.Benchmark(func(b *testing.B) {
		b.Helper()
		b.SetBytes(int64(len(prompt)))
		for range b.N {
			_ = lrprefix.Chain(lrprefix.ID{}, prompt)
		}
	})
	return float64(result.Bytes) * float64(result.N) / 1e6 / result.T.Seconds()
}
