package lrpipeline

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// silentBackend does not answer the first attempt until the others have answered many requests, or its context ends.
type silentBackend struct {
	*scriptedBackend
	fixture *fixture
	cause   error
}

func (s *silentBackend) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	reply, err := s.scriptedBackend.Send(ctx, attempt)
	if len(s.attempts) == 1 {
		s.fixture.answerOthers(attempt.Server.ID, 2*time.Second)
		s.cause = context.Cause(ctx)
	}
	if ctx.Err() != nil {
		return nil, lrconn.ErrBroken.Wrap(ctx.Err())
	}
	return reply, err
}

// answerOthers lets the other servers answer other requests for the given time.
func (w *fixture) answerOthers(silent string, duration time.Duration) {
	m := w.pipeline.Responses
	for end := w.now.Add(duration); w.now.Before(end); {
		for _, id := range []string{"a", "b", "c"} {
			if id == silent {
				continue
			}
			for _, route := range []string{"read", "pay", "stream", "resume"} {
				a := m.Sent(w.now, lrretry.AttemptOptions{Server: id, Service: "s", Route: route})
				a.Received(w.now, true)
				a.End()
			}
		}
		w.now = w.now.Add(20 * time.Millisecond)
		m.Step(w.now)
	}
}

func (w *fixture) setTimeout(timeout time.Duration) {
	spec := testSpec()
	spec.Version = 2
	for n := range spec.Routes {
		spec.Routes[n].Timeout = timeout
	}
	w.pipeline.Directory.SetSpec(spec)
}

// TestAttemptAtSilentServerIsGivenUp guards against requests that wait at a silent engine until their deadline, and against repeats of
// requests that must run once only or for which the retry budget has nothing left.
func TestAttemptAtSilentServerIsGivenUp(t *testing.T) {
	cases := []struct {
		name, route string
		budget      int
		isGivenUp   bool
	}{
		{"resumable stream", "resume", 1, true},
		{"idempotent, one retry in the budget serves one repeat", "read", 1, true},
		{"no retry budget", "resume", 0, false},
		{"stream that cannot be resumed", "stream", 9, false},
		{"paid action", "pay", 9, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, step{body: "ok", events: []string{"1"}}, step{body: "ok", events: []string{"1"}})
			w.setTimeout(10 * time.Second)
			w.budget.left = c.budget
			silent := &silentBackend{scriptedBackend: w.backend, fixture: w}
			w.pipeline.Backend = silent
			caller := w.serve(c.route)
			requireEqual(t, caller.status, 200)
			requireEqual(t, errors.Is(silent.cause, errUnresponsive), c.isGivenUp)
			servers := w.servers()
			requireEqual(t, len(servers), map[bool]int{true: 2, false: 1}[c.isGivenUp])
			requireEqual(t, len(slices.Compact(servers)), len(servers))
			if c.isGivenUp {
				requireEqual(t, w.budget.left, c.budget-1)
			}
		})
	}
}

func (w *fixture) suspect(servers ...string) {
	for _, id := range servers {
		w.pipeline.Responses.Merge(w.now, lrretry.Report{Suspicions: []lrretry.SuspicionUpdate{{Server: id, SuspectedAge: 0, DoubtAge: -1, TrialAge: 0}}})
	}
}

// TestSuspectedServersAreLeftOut guards against requests at a server that does not respond, against suspicions, true or false, that leave
// too few servers, and against a suspected server that gets no trial request.
func TestSuspectedServersAreLeftOut(t *testing.T) {
	serve := func(w *fixture, count int, between time.Duration, suspected ...string) []string {
		for range count {
			w.now = w.now.Add(between)
			w.suspect(suspected...)
			w.backend.steps = append(w.backend.steps, step{body: "ok"})
			w.serve("read")
		}
		ids := w.servers()
		slices.Sort(ids)
		return slices.Compact(ids)
	}
	t.Run("no request but a trial", func(t *testing.T) {
		w := newFixture(t)
		w.suspect("a")
		requireEqual(t, slices.Contains(serve(w, 40, time.Millisecond), "a"), false)
		w.now = w.now.Add(time.Second)
		requireEqual(t, slices.Contains(serve(w, 40, time.Millisecond), "a"), true)
		w.now = w.now.Add(20 * time.Millisecond)
		requireEqual(t, w.pipeline.Responses.Suspected(w.now) == nil, true)
	})
	t.Run("two of three are used as before", func(t *testing.T) {
		w := newFixture(t)
		requireEqual(t, len(serve(w, 60, 400*time.Millisecond, "a", "b")), 3)
	})
	t.Run("a suspected server is used when the others have failed the request", func(t *testing.T) {
		w := newFixture(t, step{refusal: RefusedBusy}, step{refusal: RefusedBusy}, step{body: "ok"})
		w.suspect("a")
		requireEqual(t, w.serve("read").status, 200)
		requireEqual(t, w.servers()[2], "a")
	})
}
