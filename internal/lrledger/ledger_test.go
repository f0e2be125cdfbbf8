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
	boundaries = 9
	randomRuns = 10000
	longWait   = 2 * time.Minute
)

// TestEveryBoundary brings about every pair of faults at every pair of calls of one action and its resendings.
func TestEveryBoundary(t *testing.T) {
	t.Parallel()
	for first := range boundaries {
		t.Run(fmt.Sprintf("first fault at call %d", first+1), func(t *testing.T) {
			requireEqual(t, countBroken(t, newLedger, first, t.Errorf), 0, "runs that disagree with the ledger")
		})
	}
}

// TestNaiveFailsSameBoundaries shows that the runs catch a runner without records of its intent.
func TestNaiveFailsSameBoundaries(t *testing.T) {
	t.Parallel()
	broken := 0
	for first := range boundaries {
		broken += countBroken(t, newNaive, first, func(string, ...any) {})
	}
	t.Logf("the naive runner breaks %d runs", broken)
	requireEqual(t, broken > 0, true, "the naive runner is caught")
}

func countBroken(t *testing.T, newPaid func(*node) paidRunner, first int, report func(string, ...any)) int {
	t.Helper()
	broken := 0
	for f := range faultCount {
		for second := first + 1; second <= boundaries; second++ {
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
						broken++
						report("fault %d at call %d, fault %d at call %d, query %q: %v", f, first+1, g, second+1, query, found)
					}
				}
			}
		}
	}
	return broken
}

// runSequence sends an action and sends it again through other instances until the faults are over.
func runSequence(t *testing.T, newPaid func(*node) paidRunner, faults script, query string) []string {
	t.Helper()
	var broken []string
	synctest.Test(t, func(*testing.T) {
		w := newWorld(3, newPaid, faults)
		w.route.Query = query
		for n := range 4 {
			w.send(n%3, testBody, longWait)
			time.Sleep(time.Second)
		}
		broken = finishRun(w)
	})
	return broken
}

// finishRun lets every late effect happen, sends the action once more without faults and checks the run.
func finishRun(w *world) []string {
	w.rest()
	w.heal()
	time.Sleep(2 * frozenLong)
	last := w.send(2, testBody, longWait)
	broken := w.check()
	if w.route.Query != "" && last.err != nil && lrerror.From(last.err).Outcome() == lrerror.Unknown {
		broken = append(broken, "the outcome is unknown although the service can tell: "+last.err.Error())
	}
	if last.err != nil && !slices.Contains(finalKinds(), lrerror.From(last.err).Kind()) {
		broken = append(broken, "the last request was refused although all faults were over: "+last.err.Error())
	}
	ranAsSent := slices.ContainsFunc(w.service.of(testKey), func(e effect) bool { return e.body == testBody })
	if last.err != nil && lrerror.From(last.err).Outcome() == lrerror.NotRun && ranAsSent {
		broken = append(broken, "the last request was told notRun after the action had run")
	}
	return broken
}

// finalKinds returns the kinds of error that an action may end with for good.
func finalKinds() []lrerror.Kind {
	return []lrerror.Kind{lrerror.KindConflict, lrerror.KindIdempotencyMismatch}
}

// TestRandomRuns sends one action from several callers at once through instances that fail at random.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	settled := 0
	for seed := range uint64(randomRuns) {
		broken, known := runRandom(t, newLedger, seed)
		if len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
		}
		if known {
			settled++
		}
	}
	t.Logf("%d of %d actions ended with a known outcome", settled, randomRuns)
	requireEqual(t, settled > randomRuns/2, true, "most actions end with a known outcome")
}

// TestNaiveFailsRandomRuns runs the naive runner on the same seeds.
func TestNaiveFailsRandomRuns(t *testing.T) {
	t.Parallel()
	const runs = randomRuns / 10
	broken := 0
	for seed := range uint64(runs) {
		found, _ := runRandom(t, newNaive, seed)
		if len(found) > 0 {
			broken++
		}
	}
	t.Logf("the naive runner breaks %d of %d runs", broken, runs)
	requireEqual(t, broken > 0, true, "the naive runner is caught")
}

func runRandom(t *testing.T, newPaid func(*node) paidRunner, seed uint64) (broken []string, known bool) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		faulty := random.Float64() * 0.5
		w := newWorld(3, newPaid, randomFaults(seed, faulty))
		if random.IntN(2) == 0 {
			w.route.Query = "/outcomes"
		}
		for range 2 + random.IntN(6) {
			delay := time.Duration(random.Int64N(int64(20 * time.Second)))
			patience := time.Duration(random.Int64N(int64(40 * time.Second)))
			index, body := random.IntN(3), testBody
			if random.IntN(8) == 0 {
				body = `{"amount":200}`
			}
			w.later(delay, func() { w.send(index, body, patience) })
		}
		w.rest()
		resolveIfInDoubt(w, random)
		broken = finishRun(w)
		known = lrerror.From(w.answers[len(w.answers)-1].err).Outcome() != lrerror.Unknown || w.answers[len(w.answers)-1].err == nil
	})
	return broken, known
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

// resolveIfInDoubt lets an operator settle the action in half of the runs, after a look at the service's ledger.
func resolveIfInDoubt(w *world, random *rand.Rand) {
	if random.IntN(2) == 0 {
		return
	}
	outcome := lrpaid.ResolvedNotRun
	if len(w.service.of(testKey)) > 0 {
		outcome = lrpaid.ResolvedDone
	}
	_, _ = NewBook(w.memory).Resolve(context.Background(), time.Now(), testAccount, testKey, lrpaid.Resolution{
		Outcome: outcome, Reason: "looked", Who: "crew", When: time.Now(),
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
