package lrpipeline

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// TestNothingLeavesAfterAPause pauses the process exactly between the choice of a server and the first byte. What was allowed before the
// pause is asked for again: a request whose time is over is refused as not run, and one with time left gets a new choice.
func TestNothingLeavesAfterAPause(t *testing.T) {
	cases := []struct {
		name, route string
		pause       time.Duration
		status      int
		left        int
	}{
		{"a short one changes nothing", "pay", 100 * time.Millisecond, 200, 1},
		{"paid, beyond its time", "pay", 5 * time.Second, 503, 0},
		{"idempotent, beyond its time", "read", 5 * time.Second, 503, 0},
		{"a stream, beyond its time", "stream", 5 * time.Second, 503, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, step{body: "ok"})
			w.backend.beforeLeaving = func() { w.paused += c.pause }
			caller := w.serve(c.route)
			requireEqual(t, caller.status, c.status)
			requireEqual(t, len(w.backend.left), c.left)
			if caller.refusal != nil {
				requireEqual(t, caller.refusal.Outcome(), lrerror.NotRun)
			}
			if c.left == 0 {
				requireEqual(t, w.limiter.Used()["school"], 0)
			}
		})
	}
}

// TestOldChoiceIsMadeAnew pauses a request that has time left for longer than a choice holds.
func TestOldChoiceIsMadeAnew(t *testing.T) {
	w := newWorld(t, step{body: "ok"})
	w.pipeline.PauseClock = func() time.Time { return w.now.Add(w.paused) }
	spec := testSpec()
	spec.Version = 2
	for n := range spec.Routes {
		spec.Routes[n].Timeout = 10 * time.Second
	}
	w.pipeline.Directory.SetSpec(spec)
	paused := false
	w.backend.beforeLeaving = func() {
		if !paused {
			paused = true
			w.paused += 2 * choiceLife
		}
	}
	requireEqual(t, w.serve("pay").status, 200)
	requireEqual(t, len(w.backend.attempts), 2)
	requireEqual(t, len(w.backend.left), 1)
}
