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

// TestWhatBecomesOfARequest goes through what servers may do to requests that may and may not run again.
func TestWhatBecomesOfARequest(t *testing.T) {
	ok := step{body: "ok"}
	busy := step{refusal: RefusedBusy, status: 503}
	failed := step{status: 500, body: "failed"}
	broken, unsent := step{err: errTestBroken}, step{err: errTestUnsent}
	cut := step{body: "o", broken: true}
	cases := []struct {
		name, route string
		steps       []step
		status      int
		body        string
		sends       int
		ran         lrerror.Outcome
	}{
		{"is answered", "read", []step{ok}, 200, "ok", 1, ""},
		{"idempotent: another server after a failure", "read", []step{failed, ok}, 200, "ok", 2, ""},
		{"idempotent: another server after a break", "read", []step{broken, ok}, 200, "ok", 2, ""},
		{"idempotent: another server after half an answer", "read", []step{cut, ok}, 200, "ok", 2, ""},
		{"idempotent: the failure itself when attempts are used up", "read", []step{failed, failed, ok}, 500, "failed", 2, ""},
		{"paid: never again after a break", "pay", []step{broken, ok}, 502, "", 1, lrerror.Unknown},
		{"paid: never again after half an answer", "pay", []step{cut, ok}, 502, "", 1, lrerror.Unknown},
		{"paid: a failure is passed on", "pay", []step{failed, ok}, 500, "failed", 1, ""},
		{"paid: another server after a refusal", "pay", []step{busy, ok}, 200, "ok", 2, ""},
		{"paid: another server when nothing was sent", "pay", []step{unsent, ok}, 200, "ok", 2, ""},
		{"paid: refused as not run when all refuse", "pay", []step{busy, busy, busy, busy}, 503, "", 3, lrerror.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.steps...)
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

// TestRepeatsGoToAnotherServer never sends a request to the same server twice.
func TestRepeatsGoToAnotherServer(t *testing.T) {
	w := newWorld(t, step{refusal: RefusedBusy, status: 503}, step{refusal: RefusedBusy, status: 503}, step{body: "ok"})
	w.serve("read")
	seen := map[string]bool{}
	for _, id := range w.servers() {
		requireEqual(t, seen[id], false)
		seen[id] = true
	}
}

func TestStreams(t *testing.T) {
	whole := step{events: []string{"1", "2", "3"}}
	cases := []struct {
		name, route string
		steps       []step
		body        string
		aborted     bool
		resumeAfter string
	}{
		{"arrives whole", "stream", []step{whole}, "123", false, ""},
		{"goes on behind the last event", "resume", []step{{events: []string{"1"}, broken: true}, {events: []string{"2", "3"}}}, "123", false, "1"},
		{"begins anew when nothing was delivered", "resume", []step{{broken: true}, whole}, "123", false, ""},
		{"is cut where it may not go on", "stream", []step{{events: []string{"1"}, broken: true}, whole}, "1", true, ""},
		{"is cut when attempts are used up", "resume", []step{{events: []string{"1"}, broken: true}, {broken: true}, whole}, "1", true, "1"},
		{"is cut when the next server fails", "resume", []step{{events: []string{"1"}, broken: true}, {status: 500}}, "1", true, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.steps...)
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
		{"no time left", func(r *Request) { r.Patience = time.Millisecond }, 503},
		{"within the allowance", func(r *Request) { r.HasTokens, r.PromptTokens = true, 100 }, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, step{body: "ok"})
			request, caller := w.request("read"), &recorded{}
			c.change(request)
			w.pipeline.Serve(context.Background(), request, caller)
			requireEqual(t, caller.status, c.status)
		})
	}
}

// TestStoppingInstanceTakesNothing refuses what comes so late in a planned stop that it might be cut, before its body is read and after.
func TestStoppingInstanceTakesNothing(t *testing.T) {
	w := newWorld(t, step{body: "ok"})
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

// TestAllowanceIsGivenBack refuses a request over the rate with the time to come back, and charges nothing for one that
// did not run.
func TestAllowanceIsGivenBack(t *testing.T) {
	w := newWorld(t, step{refusal: RefusedOther, status: 400}, step{refusal: RefusedOther, status: 400}, step{refusal: RefusedOther, status: 400}, step{body: "ok"})
	serve := func() *recorded {
		request, caller := w.request("read"), &recorded{}
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

// TestRequestThatCrashesServersIsStopped sends the same content again and again.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	w := newWorld(t, step{err: errTestBroken}, step{err: errTestBroken}, step{err: errTestBroken}, step{err: errTestBroken}, step{err: errTestBroken})
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

// TestTimeoutOfTheRoute answers at once when the time of the route is over, and says whether the request may have run.
func TestTimeoutOfTheRoute(t *testing.T) {
	w := newWorld(t)
	w.now = time.Now()
	request, caller := w.request("read"), &recorded{}
	request.Patience = 50 * time.Millisecond
	w.pipeline.Serve(context.Background(), request, caller)
	requireEqual(t, caller.status, 504)
	requireEqual(t, caller.refusal.Outcome(), lrerror.Unknown)
}

// TestBudgetBoundsRepeats gives up when the budget of repeats is used up, but not for what was never sent.
func TestBudgetBoundsRepeats(t *testing.T) {
	w := newWorld(t, step{err: errTestBroken}, step{body: "ok"})
	w.budget.left = 0
	requireEqual(t, w.serve("read").status, 502)
	w = newWorld(t, step{err: errTestUnsent}, step{body: "ok"})
	w.budget.left = 0
	requireEqual(t, w.serve("read").status, 200)
}

// TestServerAtAnotherAddressIsLeftOut asks no displaced server a second time.
func TestServerAtAnotherAddressIsLeftOut(t *testing.T) {
	w := newWorld(t, step{refusal: RefusedElsewhere, status: 421}, step{body: "ok"}, step{body: "ok"}, step{body: "ok"}, step{body: "ok"})
	w.serve("read")
	displaced := w.servers()[0]
	for range 3 {
		w.serve("read")
	}
	for _, id := range w.servers()[1:] {
		requireEqual(t, id == displaced, false)
	}
}

// TestNoTable tells the caller to come back to an instance that has just started.
func TestNoTable(t *testing.T) {
	w := newWorld(t)
	w.pipeline.Directory = emptyDirectory()
	caller := w.serve("read")
	requireEqual(t, caller.status, 503)
	requireEqual(t, caller.refusal.Outcome(), lrerror.NotRun)
	requireEqual(t, caller.refusal.RetryAfter() > 0, true)
}

// TestRefusalStandsThoughTheTableArrives refuses a request, whose body has not been read, with what the first look found.
func TestRefusalStandsThoughTheTableArrives(t *testing.T) {
	w := newWorld(t, step{body: "ok"})
	known := w.pipeline.Directory
	w.pipeline.Directory = emptyDirectory()
	request, caller := w.request("read"), &recorded{}
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

// TestManyServersAreGone answers a request although many servers have just crashed or come back as others, as when a third of a large
// service restarts at once. Sendings that did not leave cost nothing; those that were refused are bounded.
func TestManyServersAreGone(t *testing.T) {
	unsent, elsewhere := step{err: errTestUnsent}, step{refusal: RefusedElsewhere, status: 421}
	cases := []struct {
		name   string
		steps  []step
		status int
	}{
		{"eight do not listen", append(repeated(unsent, 8), step{body: "ok"}), 200},
		{"five do not listen and four are others", append(append(repeated(unsent, 5), repeated(elsewhere, 4)...), step{body: "ok"}), 200},
		{"all are others", repeated(elsewhere, 30), 503},
		{"none listens", repeated(unsent, 30), 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.steps...)
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

// TestPromptOfABrokenStreamIsNotComputed tells nobody of parts that an engine may not hold: the stream broke before its first
// event.
func TestPromptOfABrokenStreamIsNotComputed(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		told  int
	}{
		{"before the first event", []step{{broken: true}}, 0},
		{"after it", []step{{events: []string{"1"}, broken: true}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.steps...)
			request, caller := w.request("stream"), &recorded{}
			request.Model, request.PromptTokens = testModel, 300
			request.Parts = []lrbalance.Part{{ID: "shared", Tokens: 200}, {ID: "own", Tokens: 100}}
			w.pipeline.Serve(context.Background(), request, caller)
			news, _ := w.pipeline.Balancer.News(w.pipeline.Clock(), lrbalance.Cursors{}, true)
			requireEqual(t, len(news), c.told)
			requireEqual(t, len(w.pipeline.Balancer.Own()), 0)
		})
	}
}
