package lrledger

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

const (
	faultableCalls = 9
	randomRuns     = 10000
	longWait       = 2 * time.Minute
)

// TestEveryPairOfFaults injects every pair of faults into every pair of calls that one action and its retries make.
func TestEveryPairOfFaults(t *testing.T) {
	t.Parallel()
	for first := range faultableCalls {
		t.Run(fmt.Sprintf("first fault at call %d", first+1), func(t *testing.T) {
			requireEqual(t, countViolatingRuns(t, newLedger, first, t.Errorf), 0, "runs that disagree with the effects")
		})
	}
}

// TestNaiveRunnerFailsSomePairOfFaults checks that the same runs detect the errors of a runner that does not record its
// intent to send.
func TestNaiveRunnerFailsSomePairOfFaults(t *testing.T) {
	t.Parallel()
	violatingRuns := 0
	for first := range faultableCalls {
		violatingRuns += countViolatingRuns(t, newNaive, first, func(string, ...any) {})
	}
	t.Logf("the naive runner violates the rules in %d runs", violatingRuns)
	requireEqual(t, violatingRuns > 0, true, "the errors of the naive runner are detected")
}

func countViolatingRuns(t *testing.T, newPaid func(*node) paidRunner, first int, report func(string, ...any)) int {
	t.Helper()
	violatingRuns := 0
	for f := range faultCount {
		for second := first + 1; second <= faultableCalls; second++ {
			for g := range faultCount {
				faults := func(_ string, _, call int) fault {
					switch call {
					case first + 1:
						return f
					case second + 1:
						return g
					default:
						return faultNone
					}
				}
				for _, query := range []string{"", "/outcomes"} {
					found := runSequence(t, newPaid, faults, query)
					if len(found) > 0 {
						violatingRuns++
						report("fault %d at call %d, fault %d at call %d, query %q: %v", f, first+1, g, second+1, query, found)
					}
				}
			}
		}
	}
	return violatingRuns
}

// runSequence sends an action four times, each time through another instance, while faults occur.
func runSequence(t *testing.T, newPaid func(*node) paidRunner, faults script, query string) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(3, newPaid, faults)
		s.route.Query = query
		for n := range 4 {
			s.send(n%3, testBody, longWait)
			time.Sleep(time.Second)
		}
		violations = finishRun(s)
	})
	return violations
}

// finishRun waits for all late effects, sends the action once more without faults and checks the run.
func finishRun(s *simulation) []string {
	s.waitForPending()
	s.endFaults()
	time.Sleep(2 * longFreezeDuration)
	s.confirmRecords()
	last := s.send(2, testBody, longWait)
	violations := s.check()
	if s.route.Query != "" && last.err != nil && lrerror.From(last.err).Outcome() == lrerror.Unknown {
		violations = append(violations, "the outcome is unknown although the service can be queried: "+last.err.Error())
	}
	if last.err != nil && !slices.Contains(finalKinds(), lrerror.From(last.err).Kind()) {
		violations = append(violations, "the last request was refused although all faults were over: "+last.err.Error())
	}
	ranAsSent := slices.ContainsFunc(s.service.effectsOf(testKey), func(e effect) bool { return e.body == testBody })
	if last.err != nil && lrerror.From(last.err).Outcome() == lrerror.NotRun && ranAsSent {
		violations = append(violations, "the last request was told notRun after the action had run")
	}
	return violations
}

// finalKinds returns the kinds of error with which an action may end permanently.
func finalKinds() []lrerror.Kind {
	return []lrerror.Kind{lrerror.KindConflict, lrerror.KindIdempotencyMismatch}
}

// TestRandomRuns sends one action from several callers concurrently through instances with random faults.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	settled := 0
	for seed := range uint64(randomRuns) {
		violations, known := runRandom(t, newLedger, seed)
		if len(violations) > 0 {
			t.Errorf("seed %d: %v", seed, violations)
		}
		if known {
			settled++
		}
	}
	t.Logf("%d of %d actions ended with a known outcome", settled, randomRuns)
	requireEqual(t, settled > randomRuns/2, true, "most actions end with a known outcome")
}

// TestNaiveRunnerFailsRandomRuns checks that the same seeds detect the errors of the naive runner.
func TestNaiveRunnerFailsRandomRuns(t *testing.T) {
	t.Parallel()
	const runs = randomRuns / 10
	violatingRuns := 0
	for seed := range uint64(runs) {
		found, _ := runRandom(t, newNaive, seed)
		if len(found) > 0 {
			violatingRuns++
		}
	}
	t.Logf("the naive runner violates the rules in %d of %d runs", violatingRuns, runs)
	requireEqual(t, violatingRuns > 0, true, "the errors of the naive runner are detected")
}

func runRandom(t *testing.T, newPaid func(*node) paidRunner, seed uint64) (violations []string, known bool) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		faultShare := random.Float64() * 0.5
		s := newSimulation(3, newPaid, randomFaults(seed, faultShare))
		if random.IntN(2) == 0 {
			s.route.Query = "/outcomes"
		}
		for range 2 + random.IntN(6) {
			delay := time.Duration(random.Int64N(int64(20 * time.Second)))
			timeout := time.Duration(random.Int64N(int64(40 * time.Second)))
			index, body := random.IntN(3), testBody
			if random.IntN(8) == 0 {
				body = `{"amount":200}`
			}
			s.runLater(delay, func() { s.send(index, body, timeout) })
		}
		s.waitForPending()
		resolveIfInDoubt(s, random)
		violations = finishRun(s)
		known = lrerror.From(s.answers[len(s.answers)-1].err).Outcome() != lrerror.Unknown || s.answers[len(s.answers)-1].err == nil
	})
	return violations, known
}

// randomFaults returns a script that depends on the seed and the node's own calls alone.
func randomFaults(seed uint64, share float64) script {
	return func(node string, nodeCall, _ int) fault {
		hash := fnv.New64a()
		_, _ = fmt.Fprint(hash, node, "/", nodeCall)
		random := rand.New(rand.NewPCG(seed, hash.Sum64()))
		if random.Float64() > share {
			return faultNone
		}
		return fault(random.IntN(int(faultCount)))
	}
}

// resolveIfInDoubt resolves the action in half of the runs, as an operator who has checked the effects in the service.
func resolveIfInDoubt(s *simulation, random *rand.Rand) {
	if random.IntN(2) == 0 {
		return
	}
	outcome := lrpaid.ResolvedNotRun
	if len(s.service.effectsOf(testKey)) > 0 {
		outcome = lrpaid.ResolvedDone
	}
	_, _ = NewRecordStore(s.memory).Resolve(context.Background(), time.Now(), testAccount, testKey, lrpaid.Resolution{
		Outcome: outcome, Reason: "checked", Who: "operator", When: time.Now(),
	})
}

func encode(t *testing.T, record lrpaid.Record) []byte {
	t.Helper()
	value, err := json.Marshal(record)
	requireEqual(t, err, nil, "error")
	return value
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
