package main

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	// maxAllowanceTime is the longest time for one decision, in nanoseconds.
	maxAllowanceTime = 20_000
	kilobyte         = 1024.0
	reportDelay      = 1080 * time.Millisecond
	// demandReportPeriod is the time between two reports of an instance in a zone of sixty.
	demandReportPeriod = 480 * time.Millisecond
)

// measureAllowance measures the limiter that all instances replicate, at the size expected in two years.
func measureAllowance(context.Context) ([]figure, error) {
	now := time.Now()
	before := heapBytes()
	limiter := usedLimiter(now)
	state := (heapBytes() - before) / futureAccounts
	decision := testing.Benchmark(func(b *testing.B) {
		b.Helper()
		at := now
		for n := 0; b.Loop(); n++ {
			at = at.Add(50 * time.Microsecond)
			_, _ = limiter.Reserve(at, accountName(n%futureAccounts), limitRate, limitBurst, 100)
		}
	})
	limiter = usedLimiter(now)
	report := testing.Benchmark(func(b *testing.B) {
		b.Helper()
		for b.Loop() {
			limiter.ApplyDemand(now, futureInstances, reportDelay, limiter.Demand(now))
		}
	})
	encoded := &lrpeerpb.FleetState{Demand: map[string]*lrpeerpb.AccountDemand{}}
	for account, d := range usedLimiter(now).Demand(now) {
		encoded.Demand[account] = &lrpeerpb.AccountDemand{Rate: d.Rate, Squares: d.Squares}
	}
	bytes := float64(proto.Size(encoded)) / demandReportPeriod.Seconds()
	runtime.KeepAlive(limiter)
	none := math.NaN()
	return []figure{
		{"decisionTime", float64(decision.NsPerOp()), none, maxAllowanceTime, "ns"},
		{"reportTime", float64(report.NsPerOp()), none, none, "ns"},
		{"demandBytesEachWay420", bytes, none, maxControlBytes, "bytes/s"},
		{"stateKilobytesPerAccount", state / kilobyte, none, none, "KB"},
		{"stateMegabytes16000", state * futureAccounts / kilobyte / kilobyte, none, 128, "MB"},
	}, nil
}

func accountName(n int) string { return fmt.Sprintf("account-%05d", n) }

// usedLimiter returns a limiter on which every account has had a request, and as many as an instance serves within two seconds just now.
// Others have demand for the accounts that it reports.
func usedLimiter(now time.Time) *lrlimit.SharedLimiter {
	const recently = 2 * futureRequests / futureInstances
	limiter := lrlimit.NewSharedLimiter(true)
	for n := range futureAccounts {
		at := now
		if float64(n) > recently {
			at = now.Add(-time.Minute)
		}
		_, _ = limiter.Reserve(at, accountName(n), limitRate, limitBurst, 100)
	}
	limiter.ApplyDemand(now, futureInstances, reportDelay, limiter.Demand(now))
	return limiter
}
