package lrpipeline

import (
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// TestUnprovenRefusalsPromiseNothing guards against paid actions that run twice: a backend server ran a request and answered with a status that
// tells callers that it did not run. The router passed the status on, and the caller sent the request again.
func TestUnprovenRefusalsPromiseNothing(t *testing.T) {
	large := strings.Repeat("x", maxBufferedAnswerBytes+chunkBytes)
	refusals := map[string]step{
		"status 503":             {status: 503, unproven: true, body: "closed"},
		"status 429":             {status: 429, unproven: true, body: "closed"},
		"large answer":           {status: 503, unproven: true, body: large, length: int64(len(large))},
		"larger than memory":     {status: 503, unproven: true, body: strings.Repeat("x", 2*testMemoryBytes), length: -1},
		"answer that breaks off": {status: 503, unproven: true, body: "clo", broken: true},
	}
	for name, refusal := range refusals {
		for _, route := range []string{"pay", "stream"} {
			t.Run(name+" on "+route, func(t *testing.T) {
				w := newFixture(t, refusal, step{body: "ok"})
				w.requireUnknown(t, w.serve(route))
				requireEqual(t, len(w.backend.attempts), 1)
			})
		}
	}
	t.Run("after a refusal", func(t *testing.T) {
		w := newFixture(t, step{refusal: RefusedBusy, status: 503}, refusals["status 503"])
		w.requireUnknown(t, w.serve("pay"))
		requireEqual(t, len(w.backend.attempts), 2)
	})
}

// requireUnknown checks that the caller is told that the request may have run.
func (w *fixture) requireUnknown(t *testing.T, caller *recordingCaller) {
	t.Helper()
	if caller.refusal == nil {
		t.Fatalf("the caller got status %d", caller.status)
	}
	requireEqual(t, caller.refusal.Kind(), lrerror.KindBackendFailed)
	requireEqual(t, caller.refusal.Outcome(), lrerror.Unknown)
	requireEqual(t, caller.refusal.RetryAfter(), 0)
}

// TestUnprovenRefusalsOfRepeatableRequests guards against a request that is safe to run again and loses an answer by that: another server may
// serve it, and the caller gets the answer of the first one unchanged if none does.
func TestUnprovenRefusalsOfRepeatableRequests(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		refusal := step{status: status, unproven: true, body: "closed"}
		w := newFixture(t, refusal, step{body: "ok"})
		caller := w.serve("read")
		requireEqual(t, caller.status, 200)
		requireEqual(t, caller.body, "ok")
		w = newFixture(t, refusal, refusal)
		caller = w.serve("read")
		requireEqual(t, caller.status, status)
		requireEqual(t, caller.body, "closed")
		requireEqual(t, len(w.backend.attempts), 2)
	}
}
