package lrpipeline

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
)

// newLoadedFixture returns a fixture whose servers have the given prompt tokens waiting, whose routes have a target of 0.4 s, and whose
// admission has seen requests that were expected to be late.
func newLoadedFixture(t *testing.T, waiting int, steps ...step) *fixture {
	t.Helper()
	w := newFixture(t, steps...)
	w.setTarget(400 * time.Millisecond)
	servers := testServers()
	loads := map[string]lrbalance.Load{}
	for id, s := range servers {
		s.Slots = 8
		servers[id] = s
		loads[id] = lrbalance.Load{Waiting: waiting, Running: waiting / 1000}
	}
	w.pipeline.Directory.SetServers(servers)
	w.pipeline.Balancer.SetOtherLoads(loads)
	w.pipeline.Admission = lrqueue.NewAdmission(1)
	for range 10 {
		w.pipeline.Admission.Decide(w.now, lrqueue.Arrival{
			Service: "s", Work: 1, Wait: time.Second, Target: 400 * time.Millisecond, TimeLeft: time.Second,
		}, func() float64 { return 0 })
	}
	return w
}

// setTarget puts a routing table in force whose routes have the target, and whose account has a limit of 100 tokens.
func (w *fixture) setTarget(target time.Duration) {
	spec := testSpec()
	spec.Version = w.pipeline.Directory.Table().Version() + 1
	for n := range spec.Routes {
		spec.Routes[n].TargetLatency = target
	}
	w.pipeline.Directory.SetSpec(spec)
}

func (w *fixture) serveTokens(tokens int) *recordingCaller {
	request, caller := w.request("stream"), &recordingCaller{}
	request.Model, request.HasTokens, request.PromptTokens = testModel, true, tokens
	request.Blocks = []lrbalance.Block{{ID: "own", Tokens: tokens}}
	w.pipeline.Serve(context.Background(), request, caller)
	return caller
}

// TestRequestThatWouldBeLateIsRefused guards against a request that is accepted although it is expected long after its target, and against a
// refusal that leaves something behind: the load of its server, the tokens of its account, or an attempt.
func TestRequestThatWouldBeLateIsRefused(t *testing.T) {
	w := newLoadedFixture(t, 85_000, step{events: []string{"1"}})
	for range 3 {
		caller := w.serveTokens(100)
		requireEqual(t, caller.status, 503)
		requireEqual(t, caller.refusal.Kind(), lrerror.KindOverloaded)
		requireEqual(t, caller.refusal.Outcome(), lrerror.NotRun)
		requireEqual(t, caller.refusal.RetryAfter() > 0, true)
	}
	requireEqual(t, len(w.backend.attempts), 0)
	requireEqual(t, len(w.pipeline.Balancer.OwnLoads()), 0)
	w.pipeline.Balancer.SetOtherLoads(nil)
	requireEqual(t, w.serveTokens(100).status, 200)
}

// TestRefusedRequestIsNotCountedForTheLimitOfItsServer guards against refused requests that use up the limits that backend servers name.
func TestRefusedRequestIsNotCountedForTheLimitOfItsServer(t *testing.T) {
	w := newLoadedFixture(t, 85_000, step{events: []string{"1"}})
	w.pipeline.Notices.SetFleet(lrnotice.Fleet{Instances: []string{"test"}, Share: 1})
	for _, s := range testServers() {
		w.pipeline.Notices.Observe(w.now, w.now, startedServer(s), lrnotice.Notice{HasLimit: true, Limit: 10})
		w.pipeline.Notices.Check(w.now, startedServer(s))
	}
	w.now = w.now.Add(500 * time.Millisecond)
	for range 100 {
		requireEqual(t, w.serveTokens(10).refusal.Message(), overloaded(lrqueue.Decision{}).Message())
	}
	w.pipeline.Balancer.SetOtherLoads(nil)
	requireEqual(t, w.serveTokens(10).status, 200)
}

// TestRequestIsSentWhereAServerIsFree guards against refusals on an idle system: the prompt alone takes longer than the target.
func TestRequestIsSentWhereAServerIsFree(t *testing.T) {
	w := newLoadedFixture(t, 0, step{events: []string{"1"}})
	w.setTarget(time.Millisecond)
	requireEqual(t, w.serveTokens(100).status, 200)
}

// TestRetriesAreNotRefused guards against a request that is refused after an attempt that may have run.
func TestRetriesAreNotRefused(t *testing.T) {
	w := newLoadedFixture(t, 0, step{events: []string{"1"}, broken: true}, step{events: []string{"2"}})
	w.backend.beforeSend = func() {
		loads := map[string]lrbalance.Load{}
		for id := range testServers() {
			loads[id] = lrbalance.Load{Waiting: 850_000, Running: 64}
		}
		w.pipeline.Balancer.SetOtherLoads(loads)
	}
	caller := w.serve("resume")
	requireEqual(t, caller.body, "12")
}

// TestAdmissionIsOffWithoutTargets guards against refusals in a deployment whose routes have no target.
func TestAdmissionIsOffWithoutTargets(t *testing.T) {
	w := newLoadedFixture(t, 850_000, step{events: []string{"1"}})
	w.setTarget(0)
	requireEqual(t, w.serveTokens(100).status, 200)
}
