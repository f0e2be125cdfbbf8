package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	limitWarmUp     = 5 * time.Second
	steadyTime      = 5 * time.Second
	floodTime       = 5 * time.Second
	outageAfter     = 2 * time.Second
	steadyRequests  = 100
	floodRequests   = 300
	limitLoad       = 0.9
	limitRate       = 60_000
	limitBurst      = 240_000
	futureInstances = 420
	futureRequests  = 19_000.0
	futureAccounts  = 16_000
	percentile99    = 0.99
	maxControlBytes = 8_000
	maxControlCore  = 3.7
	quietPhase      = 4 * time.Second
	quietRequests   = 2000
	quietAccounts   = 1000
	// wrongfulTarget is in percent of the requests.
	wrongfulTarget = 0.1
)

// limitRun is the result of one limiter under the common load.
type limitRun struct {
	requests     int
	wrongful     int
	calls        float64
	messages     float64
	added        time.Duration
	overAdmitted float64
}

// limitLedger is a central token bucket that is charged with every admitted request, in order of admission. Limiters are
// judged by it.
type limitLedger struct {
	mutex  sync.Mutex
	bucket lrlimit.Bucket
	worst  float64
	run    limitRun
	added  []time.Duration
}

func (l *limitLedger) admissible(now time.Time, tokens float64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.bucket.WithTime(now).Tokens() >= tokens
}

func (l *limitLedger) decided(now time.Time, tokens float64, admissible, admitted bool, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.run.requests++
	l.bucket = l.bucket.WithTime(now)
	switch {
	case admitted:
		l.bucket = l.bucket.WithTokens(-tokens)
		l.worst = min(l.worst, l.bucket.Tokens())
		l.added = append(l.added, took)
	case admissible:
		l.run.wrongful++
	}
}

func measureLimit(ctx context.Context) ([]figure, error) {
	var runs [3]limitRun
	var quiet quietRun
	for n, build := range []func() (*limitFleet, error){newGrantFleet, newStoreCounterFleet, newEqualShareFleet} {
		fleet, err := build()
		if err != nil {
			return nil, err
		}
		runs[n] = runLimiter(ctx, fleet)
		if n == 0 {
			quiet = runQuiet(ctx, fleet)
		}
		fleet.stop()
	}
	figures := compareRuns("StoreCounter", runs[0], runs[1])
	figures = append(figures, compareRuns("EqualShares", runs[0], runs[2])...)
	return append(figures, limitCosts(quiet)...), ctx.Err()
}

func compareRuns(against string, ours, baseline limitRun) []figure {
	none := math.NaN()
	name := func(metric string) string { return metric + "Vs" + against }
	return []figure{
		{name("overAdmittedTokens"), ours.overAdmitted, baseline.overAdmitted, 0, "tokens"},
		{name("wrongfulRefusals"), percent(ours), percent(baseline), wrongfulTarget, "percent"},
		{name("platformCalls"), ours.calls, baseline.calls, none, "calls/s"},
		{name("messagesPerRequest"), ours.messages, baseline.messages, 1, "messages"},
		{name("addedTimeP99"), milliseconds(ours.added), milliseconds(baseline.added), 1, "ms"},
	}
}

func percent(r limitRun) float64 { return 100 * float64(r.wrongful) / float64(r.requests) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// runLimiter sends a steady load below the rate, then a flood during which the platform becomes unavailable.
func runLimiter(ctx context.Context, f *limitFleet) limitRun {
	sendLimited(ctx, f, newLimitLedger(), limitWarmUp, 1, limitLoad/steadyRequests)
	ledger := newLimitLedger()
	calls, messages := f.platform.calls.Load(), f.messages()
	sendLimited(ctx, f, ledger, steadyTime, steadyRequests, limitLoad)
	run := ledger.run
	run.calls = float64(f.platform.calls.Load()-calls) / steadyTime.Seconds()
	run.messages = float64(f.messages()-messages) / float64(run.requests)
	slices.Sort(ledger.added)
	run.added = ledger.added[int(float64(len(ledger.added))*percentile99)]
	outage := time.AfterFunc(outageAfter, func() { f.platform.down.Store(true) })
	defer outage.Stop()
	sendLimited(ctx, f, ledger, floodTime, floodRequests, floodRequests/steadyRequests)
	run.overAdmitted = max(-ledger.worst, 0)
	return run
}

func newLimitLedger() *limitLedger {
	return &limitLedger{bucket: lrlimit.NewBucket(time.Now(), limitRate, limitBurst).WithTokens(limitBurst)}
}

// sendLimited sends requests at the given fraction of the rate: half to one instance, a quarter to its zone, the rest to any.
func sendLimited(ctx context.Context, f *limitFleet, l *limitLedger, duration time.Duration, perSecond, load float64) {
	random := rand.New(rand.NewPCG(1, 2))
	var group sync.WaitGroup
	next := time.Now()
	for end := next.Add(duration); next.Before(end) && ctx.Err() == nil; {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		tokens := min(random.ExpFloat64()*load*limitRate/perSecond, limitBurst/4)
		limiter := f.limiters[unevenIndex(random)]
		group.Go(func() { reserveOnce(ctx, limiter, l, tokens) })
	}
	group.Wait()
}

func unevenIndex(random *rand.Rand) int {
	switch random.IntN(4) {
	case 0, 1:
		return 0
	case 2:
		return random.IntN(limitInstances/limitZones) * limitZones
	default:
		return random.IntN(limitInstances)
	}
}

func reserveOnce(ctx context.Context, limiter lrlimit.Limiter, l *limitLedger, tokens float64) {
	request := lrlimit.Request{Account: "school", Rate: limitRate, Burst: limitBurst, Tokens: tokens}
	started := time.Now()
	admissible := l.admissible(started, tokens)
	reservation, err := limiter.Reserve(ctx, started, request)
	now := time.Now()
	l.decided(now, tokens, admissible, err == nil, now.Sub(started))
	if err == nil {
		reservation.Settle(now, tokens)
	}
}

// quietRun is the cost of one request when nearly every request is of another account.
type quietRun struct {
	messages float64
	bytes    float64
	// processor is the CPU time of all instances and of the load generator together.
	processor time.Duration
}

// runQuiet sends requests of the accounts in rotation. Each one uses half of its reserved tokens.
func runQuiet(ctx context.Context, f *limitFleet) quietRun {
	f.platform.down.Store(false)
	var run quietRun
	messages, bytes, processor := f.messages(), f.bytes.Load(), processorTime()
	ticker := time.NewTicker(quietPhase / quietRequests)
	defer ticker.Stop()
	var group sync.WaitGroup
	for n := range quietRequests {
		<-ticker.C
		request := lrlimit.Request{Account: fmt.Sprint("quiet-", n%quietAccounts), Rate: limitRate, Burst: limitBurst, Tokens: limitRate / 100}
		limiter := f.limiters[n%limitInstances]
		group.Go(func() {
			reservation, err := limiter.Reserve(ctx, time.Now(), request)
			if err == nil {
				reservation.Settle(time.Now(), request.Tokens/2)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	run.messages = float64(f.messages()-messages) / quietRequests
	run.bytes = float64(f.bytes.Load()-bytes) / quietRequests
	run.processor = (processorTime() - processor) / quietRequests
	return run
}

// limitCosts extrapolates the costs to the fleet size expected in two years, when most accounts send few requests to each
// instance. Each byte is sent by one instance and received by another, and an account's home is rarely the instance that
// asks it.
func limitCosts(quiet quietRun) []figure {
	exchange := testing.Benchmark(benchmarkExchange)
	const remoteShare = 1 - float64(limitZones)/limitInstances
	perInstance := futureRequests / futureInstances / remoteShare
	core := 100 * perInstance * quiet.processor.Seconds()
	none := math.NaN()
	return []figure{
		{"quietMessagesPerRequest", quiet.messages, none, 1, "messages"},
		{"quietBytesPerRequest", quiet.bytes, none, none, "bytes"},
		{"bytesPerDaemon420", perInstance * 2 * quiet.bytes, none, maxControlBytes, "bytes/s"},
		{"quietProcessorPerRequest", float64(quiet.processor.Microseconds()), none, none, "µs"},
		{"corePerDaemon420", core, none, maxControlCore, "percent"},
		{"exchangeTime", float64(exchange.NsPerOp()), none, none, "ns"},
		{"stateBytesPerAccount", accountBytes(), none, none, "bytes"},
		{"stateBytesPerDaemon16000", accountBytes() * futureAccounts, none, 128 << 20, "bytes"},
	}
}

// benchmarkExchange measures the CPU time of both sides for one report, without the network.
func benchmarkExchange(b *testing.B) {
	b.Helper()
	limits := lrlimit.Limits{Rate: limitRate, Burst: limitBurst}
	now := time.Now()
	home := lrlimit.NewHome(now, limits, time.Second)
	account := lrlimit.NewAccount("daemon", "zone", now)
	holding := account.Holding("zone", lrlimit.Member{Name: "home"})
	for b.Loop() {
		now = now.Add(time.Millisecond)
		report := holding.Report(now, 10, 10)
		answer, err := home.Exchange(now, limits, report)
		if err != nil {
			b.Fatal(err)
		}
		holding.Accept(now, now, report.Sequence, answer)
		parts, ok := account.Take(now, 10)
		if ok {
			account.Return(now, parts, 0)
		}
	}
}

// accountBytes measures the memory per client account of an instance: the grants from the homes of all zones, and, as the
// account's home, the pool with one session.
func accountBytes() float64 {
	const accounts = 4000
	now := time.Now()
	accountStates := make([]*lrlimit.Account, accounts)
	pools := make([]*lrlimit.Home, accounts)
	limits := lrlimit.Limits{Rate: limitRate, Burst: limitBurst}
	before := heapBytes()
	for n := range accountStates {
		accountStates[n] = lrlimit.NewAccount("", "zone-0", now)
		pools[n] = lrlimit.NewHome(now, limits, time.Second)
		for z := range limitZones {
			report := accountStates[n].Holding(fmt.Sprint("zone-", z), lrlimit.Member{Name: "home"}).Report(now, 1, 1)
			if z == 0 {
				_, _ = pools[n].Exchange(now, limits, report)
			}
		}
	}
	used := heapBytes() - before
	runtime.KeepAlive(accountStates)
	runtime.KeepAlive(pools)
	return used / accounts
}
