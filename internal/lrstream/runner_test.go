package lrstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const testEventTimeout = 10 * time.Millisecond

type textSink struct {
	text  strings.Builder
	limit int
}

func (s *textSink) Deliver(text string) error {
	if s.limit > 0 && s.text.Len() >= s.limit {
		return errors.New("connection reset by caller")
	}
	_, _ = s.text.WriteString(text)
	return nil
}

func newTestRunner(fleet *fakeFleet, options Options) *Runner {
	options.EventTimeout = testEventTimeout
	options.Backoff = lrretry.Backoff{Base: time.Microsecond, Max: time.Microsecond}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = 4
	}
	return NewRunner(fleet, fleet, time.Now, options, zerolog.Nop())
}

func newTestJob(id, prompt string, tokens int) Job {
	return Job{
		Engine: lrengine.Request{RequestID: id, Prompt: prompt, MaxTokens: tokens},
		Route:  lrroute.Request{ID: id, Scope: lrprefix.Scope{Account: "school", Model: "m"}},
	}
}

// TestFaultyEnginesYieldCompleteAnswersOrErrors runs generations on engines that fail at random. Every answer must be complete,
// or end with an error whose outcome agrees with what the engines received.
func TestFaultyEnginesYieldCompleteAnswersOrErrors(t *testing.T) {
	const runs = 1000
	complete := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 11))
		fleet := newFakeFleet(seed, random.Float64(), "a", "b", "c")
		sink := &textSink{}
		job := newTestJob("r", "prompt", 1+random.IntN(12))
		result, err := newTestRunner(fleet, Options{}).Run(context.Background(), job, sink)
		requireConsistentOutcome(t, seed, fleet, job, result, sink.text.String(), err)
		if err == nil {
			complete++
		}
	}
	if complete < runs/4 {
		t.Fatalf("only %d of %d answers were complete", complete, runs)
	}
}

func requireConsistentOutcome(t *testing.T, seed uint64, fleet *fakeFleet, job Job, result Result, text string, err error) {
	t.Helper()
	answer := completeAnswer(job.Engine.MaxTokens)
	switch {
	case err == nil && text != answer:
		t.Fatalf("seed %d: answer %q, want %q", seed, text, answer)
	case err == nil && result.FinishReason != finishReasonLength:
		t.Fatalf("seed %d: finish reason %q", seed, result.FinishReason)
	case !strings.HasPrefix(answer, text):
		t.Fatalf("seed %d: text %q is not a prefix of the answer", seed, text)
	case err != nil && lrerror.From(err).Outcome() == lrerror.NotRun && len(fleet.received) > 0:
		t.Fatalf("seed %d: reported as not run, although engines received %v", seed, fleet.received)
	}
	for id, times := range fleet.received {
		if times > 1 {
			t.Fatalf("seed %d: engines received %s %d times", seed, id, times)
		}
	}
	for n := 1; n < len(fleet.placed); n++ {
		if fleet.placed[n] == fleet.placed[n-1] {
			t.Fatalf("seed %d: retry went to engine %s that had just failed", seed, fleet.placed[n])
		}
	}
}

func TestLateEventOfEarlierAttemptIsDiscarded(t *testing.T) {
	fleet := newFakeFleet(1, 0, "a", "b")
	fleet.nextFaults, fleet.failBeforeFirstEvent = []faultKind{faultCrash, faultLateEvent}, true
	sink := &textSink{}
	result, err := newTestRunner(fleet, Options{}).Run(context.Background(), newTestJob("r", "p", 1), sink)
	requireNoError(t, err)
	requireEqual(t, sink.text.String(), completeAnswer(1), "text")
	requireEqual(t, result.Attempts[len(result.Attempts)-1].ID, "r.2", "identifier of the last attempt")
}

func TestCanceledRequestIsNotReportedAsNotRun(t *testing.T) {
	fleet := newFakeFleet(1, 0, "a")
	fleet.nextFaults = []faultKind{faultFreeze}
	ctx, cancel := context.WithCancel(context.Background())
	runner := newTestRunner(fleet, Options{})
	runner.options.EventTimeout = time.Hour
	time.AfterFunc(testEventTimeout, cancel)
	result, err := runner.Run(ctx, newTestJob("r", "p", 1), &textSink{})
	requireEqual(t, lrerror.Is(err, lrerror.KindTimeout), true, "kind of error")
	requireEqual(t, lrerror.From(err).Outcome() == lrerror.NotRun, false, "reported as not run")
	requireEqual(t, result.Outcome, lrerror.From(err).Outcome(), "outcome of the result")
}

func TestCallerDisconnectDoesNotCountAsEngineFailure(t *testing.T) {
	fleet := newFakeFleet(1, 0, "a", "b")
	runner := newTestRunner(fleet, Options{})
	result, err := runner.Run(context.Background(), newTestJob("r", "p", 9), &textSink{limit: 1})
	requireEqual(t, lrerror.Is(err, lrerror.KindTimeout), true, "kind of error")
	requireEqual(t, len(result.Attempts), 1, "attempts")
	requireEqual(t, len(runner.options.Ejector.Ejected(time.Now())), 0, "ejected engines")
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	fleet := newFakeFleet(1, 0, "a", "b", "c")
	fleet.crashPrompt, fleet.failBeforeFirstEvent = "p", true
	runner := newTestRunner(fleet, Options{Budget: lrretry.NewBudget(0, 1), Suspects: trustAll{}})
	for _, want := range []int{2, 1} {
		result, err := runner.Run(context.Background(), newTestJob("r", "p", 3), &textSink{})
		requireEqual(t, lrerror.Is(err, lrerror.KindBackendFailed), true, "kind of error")
		requireEqual(t, len(result.Attempts), want, "attempts")
	}
}

func TestFailingEngineIsEjected(t *testing.T) {
	fleet := newFakeFleet(1, 0, "a")
	runner := newTestRunner(fleet, Options{})
	for range 3 {
		fleet.nextFaults = []faultKind{faultNotSent}
		_, err := runner.Run(context.Background(), newTestJob("r", "p", 3), &textSink{})
		requireEqual(t, lrerror.From(err).Outcome(), lrerror.NotRun, "outcome")
	}
	fleet.names = []string{"a", "b"}
	fleet.placed = nil
	for range 20 {
		_, err := runner.Run(context.Background(), newTestJob("r", "p", 3), &textSink{})
		requireNoError(t, err)
	}
	requireEqual(t, contains(fleet.placed, "a"), false, "the ejected engine received a request")
}

// TestCrashingRequestIsQuarantinedAndOthersAreServed runs a request that crashes every engine together with harmless ones. Its
// second crash must quarantine it, and harmless requests must be served even after an engine crashed on them once.
func TestCrashingRequestIsQuarantinedAndOthersAreServed(t *testing.T) {
	fleet := newFakeFleet(5, 0, "a", "b", "c")
	fleet.crashPrompt, fleet.failBeforeFirstEvent = "crashing", true
	runner := newTestRunner(fleet, Options{})
	run := func(id, prompt string) error {
		_, err := runner.Run(context.Background(), newTestJob(id, prompt, 3), &textSink{})
		return err
	}
	fleet.nextFaults = []faultKind{faultCrash}
	requireNoError(t, run("first", "harmless"))
	err := run("crashing", "crashing")
	requireEqual(t, lrerror.Is(err, lrerror.KindQuarantined), true, "the crashing request was quarantined")
	requireEqual(t, lrerror.From(err).Outcome() == lrerror.NotRun, false, "reported as not run")
	requireEqual(t, received(fleet, "crashing."), 2, "crashes")
	err = run("resent", "crashing")
	requireEqual(t, lrerror.Is(err, lrerror.KindQuarantined), true, "the resent request was refused")
	requireEqual(t, lrerror.From(err).Outcome(), lrerror.NotRun, "outcome of the resent request")
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			err := run("later", "harmless")
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
}

func received(fleet *fakeFleet, prefix string) int {
	count := 0
	for id, times := range fleet.received {
		if strings.HasPrefix(id, prefix) {
			count += times
		}
	}
	return count
}
