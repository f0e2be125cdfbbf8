package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

const (
	releaseServers = 95
	releaseRoutes  = 4
)

// releaseBoard returns a board with a roll-out under observation, or without one, and the servers of its service.
func releaseBoard(hasOrder bool) (*lrcanary.Board, []lrcanary.Server) {
	now := time.Now()
	board := lrcanary.NewBoard(lrcanary.Options{Random: rand.Float64})
	servers := make([]lrcanary.Server, 0, releaseServers)
	for n := range releaseServers {
		servers = append(servers, lrcanary.Server{ID: fmt.Sprint("server-", n), Release: []string{"v1", "v2"}[n%2]})
	}
	board.SetServers(map[string][]lrcanary.Server{"s": servers})
	if hasOrder {
		entry := lrcanary.Entry{Name: "s", To: "v2", Duration: time.Hour, Revision: 1}
		board.SetEntries(now, map[string]lrcanary.Entry{"s": entry})
		board.Merge(now, []lrcanary.News{{Order: entry.Order(), Stage: lrcanary.Observing, HasHolder: true}})
	}
	return board, servers
}

// releaseDecision measures what a roll-out adds to one attempt: its assignment, the filter over all servers and its outcome.
func releaseDecision(hasOrder bool) testing.BenchmarkResult {
	board, servers := releaseBoard(hasOrder)
	return testing.Benchmark(func(b *testing.B) {
		b.Helper()
		now := time.Now()
		for n := range b.N {
			a := board.Assign(now, "s", true)
			chosen := servers[0]
			for _, s := range servers {
				if a.Filter.Allows(s.ID, s.Release) {
					chosen = s
				}
			}
			route := []string{"a", "b", "c", "d"}[n%releaseRoutes]
			board.Sent(now, &a, chosen, route)
			board.Record(a, chosen, route, lrcanary.Outcome{Whole: time.Second})
			board.End(a)
		}
	})
}

// releaseJudgement measures one look at the evidence.
func releaseJudgement() testing.BenchmarkResult {
	board, servers := releaseBoard(true)
	now := time.Now()
	for n := range 20_000 {
		a := board.Assign(now, "s", true)
		server := servers[0]
		if a.IsNew {
			server = servers[1+2*(n%40)]
		}
		board.Record(a, server, fmt.Sprint("route-", n%releaseRoutes), lrcanary.Outcome{Whole: time.Second, IsFailed: n%200 == 0})
		board.End(a)
	}
	return testing.Benchmark(func(b *testing.B) {
		b.Helper()
		for range b.N {
			now = now.Add(time.Second)
			board.Judge(now)
		}
	})
}

// releaseEvidenceBytes returns the size of the evidence in one message when all groups of servers of both versions have answered on all routes.
func releaseEvidenceBytes() float64 {
	const groups = 6
	state := &lrpeerpb.FleetState{}
	for n := range releaseRoutes * 2 * groups {
		state.ReleaseEvidence = append(state.ReleaseEvidence, &lrpeerpb.ReleaseEvidence{
			Order: math.MaxUint64 / 3, Route: fmt.Sprint("route-", n%releaseRoutes), IsNew: n%2 == 0, Group: uint32(n % groups), Answers: 20_000, Failed: 100,
			Slow: 400, Wholes: 20_000, LogWhole: 12_000_000, Firsts: 20_000, LogFirst: 10_000_000,
		})
	}
	return float64(proto.Size(state))
}

func measureRelease(context.Context) ([]figure, error) {
	const decisionTarget = 20_000
	with, without := perOperation(releaseDecision(true)), perOperation(releaseDecision(false))
	return []figure{
		{"releaseDecisionTime", with, without, decisionTarget, "ns"},
		{"releaseJudgementTime", perOperation(releaseJudgement()), math.NaN(), math.NaN(), "ns"},
		{"releaseEvidenceBytes", releaseEvidenceBytes(), math.NaN(), math.NaN(), "bytes"},
	}, nil
}
