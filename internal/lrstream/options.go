package lrstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

func (o Options) withDefaults() Options {
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
		o.Suspects = localSuspects{Ledger: lrquarantine.NewLedger(lrquarantine.DefaultOptions())}
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

// localSuspects knows the crashes of this instance alone.
type localSuspects struct{ *lrquarantine.Ledger }

// Crashed takes in the crash.
func (l localSuspects) Crashed(_ context.Context, now time.Time, crash lrquarantine.Crash) lrquarantine.State {
	return l.Report(now, crash)
}
