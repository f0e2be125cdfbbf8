package lrpipeline

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// TestRequestOutcomes checks answer, attempts and outcome for each way in which servers answer or fail, for requests that are safe to
// retry and for those that are not.
func TestRequestOutcomes(t *testing.T) {
	ok := step{body: "ok"}
	busy := step{refusal: RefusedBusy, status: 503}
	failed := step{status: 500, body: "failed"}
	broken, unsent := step{err: errTestBroken}, step{err: errTestUnsent}
	truncated := step{body: "o", broken: true}
	cases := []struct {
		name, route string
		steps       []step
		status      int
		body        string
		sends       int
		ran         lrerror.Outcome
	}{
		{"is answered", "read", []step{ok}, 200, "ok", 1, ""},
		{"idempotent: retried after an error answer", "read", []step{failed, ok}, 200, "ok", 2, ""},
		{"idempotent: retried after a broken connection", "read", []step{broken, ok}, 200, "ok", 2, ""},
		{"idempotent: retried after a truncated answer", "read", []step{truncated, ok}, 200, "ok", 2, ""},
		{"idempotent: the error answer itself when attempts are used up", "read", []step{failed, failed, ok}, 500, "failed", 2, ""},
		{"paid: not retried after a broken connection", "pay", []step{broken, ok}, 502, "", 1, lrerror.Unknown},
		{"paid: not retried after a truncated answer", "pay", []step{truncated, ok}, 502, "", 1, lrerror.Unknown},
		{"paid: an error answer is relayed", "pay", []step{failed, ok}, 500, "failed", 1, ""},
		{"paid: retried after a refusal", "pay", []step{busy, ok}, 200, "ok", 2, ""},
		{"paid: retried when nothing was sent", "pay", []step{unsent, ok}, 200, "ok", 2, ""},
		{"paid: refused as not run when all servers refuse", "pay", []step{busy, busy, busy, busy}, 503, "", 3, lrerror.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, c.steps...)
			caller := w.serve(c.route)
			requireEqual(t, caller.status, c.status)
			requireEqual(t, caller.body, c.body)
			requireEqual(t, len(w.backend.attempts), c.sends)
			if caller.refusal != nil {
				requireEqual(t, caller.refusal.Outcome(), c.ran)
			}
		})
	}
}

// TestRetriesGoToAnotherServer checks that a refused request is never sent to the same server twice.
func TestRetriesGoToAnotherServer(t *testing.T) {
	w := newFixture(t, step{refusal: RefusedBusy, status: 503}, step{refusal: RefusedBusy, status: 503}, step{body: "ok"})
	w.serve("read")
	seen := map[string]bool{}
	for _, id := range w.servers() {
		requireEqual(t, seen[id], false)
		seen[id] = true
	}
}

// TestStreams breaks streams that may and may not be resumed.
func TestStreams(t *testing.T) {
	complete := step{events: []string{"1", "2", "3"}}
	cases := []struct {
		name, route string
		steps       []step
		body        string
		aborted     bool
		resumeAfter string
	}{
		{"is complete", "stream", []step{complete}, "123", false, ""},
		{"is resumed after the last event", "resume", []step{{events: []string{"1"}, broken: true}, {events: []string{"2", "3"}}}, "123", false, "1"},
		{"starts again when nothing was delivered", "resume", []step{{broken: true}, complete}, "123", false, ""},
		{"is aborted on a route without resumption", "stream", []step{{events: []string{"1"}, broken: true}, complete}, "1", true, ""},
		{"is aborted when attempts are used up", "resume", []step{{events: []string{"1"}, broken: true}, {broken: true}, complete}, "1", true, "1"},
		{"is aborted when the next server answers with an error", "resume", []step{{events: []string{"1"}, broken: true}, {status: 500}}, "1", true, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, c.steps...)
			caller := w.serve(c.route)
			requireEqual(t, caller.body, c.body)
			requireEqual(t, caller.aborted, c.aborted)
			requireEqual(t, caller.heads <= 1, true)
			requireEqual(t, w.backend.attempts[len(w.backend.attempts)-1].ResumeAfter, c.resumeAfter)
		})
	}
}

func TestRefusalsBeforeAnyServer(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request)
		status int
	}{
		{"unknown route", func(r *Request) { r.Path = "/none/" }, 404},
		{"unknown host", func(r *Request) { r.Host = "other" }, 404},
		{"unknown key", func(r *Request) { r.Key = "other" }, 401},
		{"no time left", func(r *Request) { r.CallerTimeout = time.Millisecond }, 503},
		{"within the burst", func(r *Request) { r.HasTokens, r.PromptTokens = true, 100 }, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, step{body: "ok"})
			request, caller := w.request("read"), &recordingCaller{}
			c.change(request)
			w.pipeline.Serve(context.Background(), request, caller)
			requireEqual(t, caller.status, c.status)
		})
	}
}

// TestStoppingInstanceRefusesRequests checks that an instance that is about to shut down refuses requests, which the shutdown might abort,
// both before their body is read and after.
func TestStoppingInstanceRefusesRequests(t *testing.T) {
	w := newFixture(t, step{body: "ok"})
	requireEqual(t, w.pipeline.Identify(w.request("pay")) == nil, true)
	w.isStopping = true
	refusal := w.pipeline.Identify(w.request("pay"))
	requireEqual(t, refusal.Outcome(), lrerror.NotRun)
	caller := w.serve("pay")
	requireEqual(t, caller.status, 503)
	requireEqual(t, caller.refusal.Outcome(), lrerror.NotRun)
	requireEqual(t, caller.refusal.RetryAfter() > 0, true)
	requireEqual(t, len(w.backend.attempts), 0)
}

// TestTokensOfRequestsThatDidNotRunAreReturned checks that a request that did not run costs nothing, and that one over the rate is refused
// with a Retry-After.
func TestTokensOfRequestsThatDidNotRunAreReturned(t *testing.T) {
	w := newFixture(t, step{refusal: RefusedOther, status: 400}, step{refusal: RefusedOther, status: 400}, step{refusal: RefusedOther, status: 400}, step{body: "ok"})
	serve := func() *recordingCaller {
		request, caller := w.request("read"), &recordingCaller{}
		request.HasTokens, request.PromptTokens = true, 100
		w.pipeline.Serve(context.Background(), request, caller)
		return caller
	}
	requireEqual(t, serve().status, 503)
	requireEqual(t, serve().status, 200)
	refused := serve()
	requireEqual(t, refused.status, 429)
	requireEqual(t, refused.refusal.RetryAfter() > 900*time.Millisecond, true)
}

// TestRequestThatCrashesServersIsRefused sends the same content until it counts as the cause of the crashes. Other content is still sent.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	w := newFixture(t, step{err: errTestBroken}, step{err: errTestBroken}, step{err: errTestBroken}, step{err: errTestBroken}, step{err: errTestBroken})
	for range 3 {
		w.now = w.now.Add(10 * time.Second)
		w.serve("pay")
	}
	before := len(w.backend.attempts)
	caller := w.serve("pay")
	requireEqual(t, caller.status, 503)
	requireEqual(t, len(w.backend.attempts), before)
	requireEqual(t, w.serve("read").status, 502)
}

// TestRequestTimeout checks that the caller is answered when the timeout ends while a server works on the request, and learns that the
// request may have run.
func TestRequestTimeout(t *testing.T) {
	w := newFixture(t)
	w.now = time.Now()
	request, caller := w.request("read"), &recordingCaller{}
	request.CallerTimeout = 50 * time.Millisecond
	w.pipeline.Serve(context.Background(), request, caller)
	requireEqual(t, caller.status, 504)
	requireEqual(t, caller.refusal.Outcome(), lrerror.Unknown)
}

// TestRetryBudgetLimitsRetries checks that a request is not retried when the retry budget is used up, unless it was never sent.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	w := newFixture(t, step{err: errTestBroken}, step{body: "ok"})
	w.budget.left = 0
	requireEqual(t, w.serve("read").status, 502)
	w = newFixture(t, step{err: errTestUnsent}, step{body: "ok"})
	w.budget.left = 0
	requireEqual(t, w.serve("read").status, 200)
}

// TestDisplacedServerIsNotChosenAgain checks that a server whose address now belongs to another server receives no more requests.
func TestDisplacedServerIsNotChosenAgain(t *testing.T) {
	w := newFixture(t, step{refusal: RefusedOtherServer, status: 421}, step{body: "ok"}, step{body: "ok"}, step{body: "ok"}, step{body: "ok"})
	w.serve("read")
	displaced := w.servers()[0]
	for range 3 {
		w.serve("read")
	}
	for _, id := range w.servers()[1:] {
		requireEqual(t, id == displaced, false)
	}
}

// TestNoRoutingTable checks that an instance that has just started refuses requests with a Retry-After.
func TestNoRoutingTable(t *testing.T) {
	w := newFixture(t)
	w.pipeline.Directory = emptyDirectory()
	caller := w.serve("read")
	requireEqual(t, caller.status, 503)
	requireEqual(t, caller.refusal.Outcome(), lrerror.NotRun)
	requireEqual(t, caller.refusal.RetryAfter() > 0, true)
}

// TestRefusalStandsAfterTheTableArrives checks that a request whose body has not been read is refused with the result of Identify, even if
// the routing table arrives before Refuse.
func TestRefusalStandsAfterTheTableArrives(t *testing.T) {
	w := newFixture(t, step{body: "ok"})
	known := w.pipeline.Directory
	w.pipeline.Directory = emptyDirectory()
	request, caller := w.request("read"), &recordingCaller{}
	refusal := w.pipeline.Identify(request)
	w.pipeline.Directory = known
	w.pipeline.Refuse(request, caller, refusal)
	requireEqual(t, caller.status, 503)
	requireEqual(t, len(w.backend.attempts), 0)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestManyServersAreUnavailable checks that a request is answered although many servers do not listen or their addresses belong to other
// servers, as when a third of a large service restarts at once. Attempts that were not sent have a limit of their own, and refused ones
// count against the limit of sent attempts.
func TestManyServersAreUnavailable(t *testing.T) {
	unsent, elsewhere := step{err: errTestUnsent}, step{refusal: RefusedOtherServer, status: 421}
	cases := []struct {
		name   string
		steps  []step
		status int
	}{
		{"eight do not listen", append(repeated(unsent, 8), step{body: "ok"}), 200},
		{"five do not listen and four are displaced", append(append(repeated(unsent, 5), repeated(elsewhere, 4)...), step{body: "ok"}), 200},
		{"all are displaced", repeated(elsewhere, 30), 503},
		{"none listens", repeated(unsent, 30), 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, c.steps...)
			servers := map[string]lrfleet.Server{}
			for n := range 30 {
				id := fmt.Sprint("s", n)
				servers[id] = lrfleet.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "a"}
			}
			w.pipeline.Directory.SetServers(servers)
			requireEqual(t, w.serve("pay").status, c.status)
		})
	}
}

func repeated(s step, times int) []step { return slices.Repeat([]step{s}, times) }

// TestBrokenStreamReportsNoCachedBlocks checks that no cached blocks are reported for a stream that broke before its first event, because
// the engine may not have computed them.
func TestBrokenStreamReportsNoCachedBlocks(t *testing.T) {
	cases := []struct {
		name     string
		steps    []step
		reported int
	}{
		{"before the first event", []step{{broken: true}}, 0},
		{"after the first event", []step{{events: []string{"1"}, broken: true}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, c.steps...)
			request, caller := w.request("stream"), &recordingCaller{}
			request.Model, request.PromptTokens = testModel, 300
			request.Blocks = []lrbalance.Block{{ID: "shared", Tokens: 200}, {ID: "own", Tokens: 100}}
			w.pipeline.Serve(context.Background(), request, caller)
			updates, _ := w.pipeline.Balancer.Updates(w.pipeline.Clock(), lrbalance.Cursors{}, true)
			requireEqual(t, len(updates), c.reported)
			requireEqual(t, len(w.pipeline.Balancer.OwnLoads()), 0)
		})
	}
}
