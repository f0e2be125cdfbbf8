package lrstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

func (o Options) withDefaults(now time.Time) Options {
	if o.Budget == nil {
		o.Budget = lrretry.DefaultBudget()
	}
	if o.Ejector == nil {
		o.Ejector = lrretry.DefaultEjector()
	}
	if o.Backoff.Max == 0 {
		o.Backoff = lrretry.DefaultBackoff()
	}
	if o.Suspects == nil {
		o.Suspects = localSuspectTracker{Ledger: lrquarantine.NewLedger(lrquarantine.DefaultOptions())}
	}
	if o.Quarantine == nil {
		options := lrquarantine.DefaultTrackerOptions("")
		options.PartsOnly = true
		o.Quarantine = lrquarantine.NewTracker(now, options)
	}
	if o.Notices == nil {
		o.Notices = lrnotice.NewBoard("")
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

// localSuspectTracker records only the crashes that this instance observes.
type localSuspectTracker struct{ *lrquarantine.Ledger }

// Crashed records the crash and returns the resulting state of the request.
func (l localSuspectTracker) Crashed(_ context.Context, now time.Time, crash lrquarantine.Crash) lrquarantine.State {
	return l.Report(now, crash)
}
