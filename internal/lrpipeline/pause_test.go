package lrpipeline

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// TestExpiredRequestIsNotSentAfterAPause pauses the process between the choice of a server and the first byte. A request that was admitted
// before the pause must not be sent when its deadline passed during the pause: it is refused as not run and its tokens are returned.
func TestExpiredRequestIsNotSentAfterAPause(t *testing.T) {
	cases := []struct {
		name, route string
		pause       time.Duration
		status      int
		sent        int
	}{
		{"short pause, paid action", "pay", 100 * time.Millisecond, 200, 1},
		{"deadline passed, paid action", "pay", 5 * time.Second, 503, 0},
		{"deadline passed, idempotent", "read", 5 * time.Second, 503, 0},
		{"deadline passed, stream", "stream", 5 * time.Second, 503, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, step{body: "ok"})
			w.backend.beforeSend = func() { w.paused += c.pause }
			caller := w.serve(c.route)
			requireEqual(t, caller.status, c.status)
			requireEqual(t, len(w.backend.sent), c.sent)
			if caller.refusal != nil {
				requireEqual(t, caller.refusal.Outcome(), lrerror.NotRun)
			}
			if c.sent == 0 {
				requireEqual(t, w.limiter.Used()["school"], 0)
			}
		})
	}
}

// TestStaleChoiceIsRepeated pauses the process for longer than a choice of a server is valid. The request has time left, so it must be
// placed again and sent once.
func TestStaleChoiceIsRepeated(t *testing.T) {
	w := newFixture(t, step{body: "ok"})
	w.pipeline.PauseClock = func() time.Time { return w.now.Add(w.paused) }
	spec := testSpec()
	spec.Version = 2
	for n := range spec.Routes {
		spec.Routes[n].Timeout = 10 * time.Second
	}
	w.pipeline.Directory.SetSpec(spec)
	paused := false
	w.backend.beforeSend = func() {
		if !paused {
			paused = true
			w.paused += 2 * maxChoiceAge
		}
	}
	requireEqual(t, w.serve("pay").status, 200)
	requireEqual(t, len(w.backend.attempts), 2)
	requireEqual(t, len(w.backend.sent), 1)
}
