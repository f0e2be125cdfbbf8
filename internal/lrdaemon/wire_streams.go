package lrdaemon

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	quarantine "github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	// quarantineInterval is the time between two reads of the quarantines from the platform. A quarantine blocks a request
	// that crashes engines.
	quarantineInterval = 30 * time.Second
	// quarantineNewsInterval is the time between two messages to the other instances about parts of prompts that crash engines.
	quarantineNewsInterval = 100 * time.Millisecond
	// quarantineAskInterval is the time between two questions for the verdicts of another instance.
	quarantineAskInterval = 2 * time.Second
)

// wireStreams creates the queue, the quarantine and the runner of streams. The registry and the placer must exist.
func (d *Daemon) wireStreams() {
	s := d.settings.Routing
	queue := lrqueue.NewFairQueue(lrqueue.Options{
		Quantum: lrprefix.BlockTokens, MaxTokens: s.QueueTokens, MaxWait: s.QueueTimeout,
	}, s.EngineTokens)
	d.queue = queue
	d.budget = lrretry.DefaultBudget()
	d.ejector = lrretry.DefaultEjector()
	quarantines := lrquarantine.NewService(lrquarantine.Options{
		Ledger: quarantine.DefaultOptions(), Membership: d.members, Pool: d.pool, Store: d.platform, Clock: d.clock, Log: d.log,
	})
	lrpeerpb.RegisterQuarantineServer(d.peers, quarantines)
	d.runner = lrstream.NewRunner(d.registry, d.placer, d.clock, lrstream.Options{
		MaxAttempts: s.MaxAttempts, EventTimeout: s.EventTimeout,
		Budget: d.budget, Ejector: d.ejector, Suspects: quarantines, Quarantine: quarantines.Parts,
	}, d.log)
	d.supervisor.Add("sizeQueue", lrsupervise.Every(s.LoadInterval, func(_ context.Context, now time.Time) {
		queue.SetCapacity(now, d.queueCapacity())
	}))
	d.supervisor.Add("spreadCrashes", quarantines.Run)
	d.supervisor.Add("tellQuarantines", lrsupervise.Every(quarantineNewsInterval, quarantines.TellNews))
	d.supervisor.Add("askQuarantines", lrsupervise.Every(quarantineAskInterval, quarantines.AskVerdicts))
	d.supervisor.Add("refreshQuarantines", lrsupervise.Every(quarantineInterval, quarantines.Refresh))
}

// queueCapacity returns this instance's share of the prompt tokens that may be in flight to all engines.
func (d *Daemon) queueCapacity() int {
	engines := 0
	for _, s := range d.registry.Servers(lrplatform.RoleEngine) {
		if !s.Leaving {
			engines++
		}
	}
	return d.settings.Routing.EngineTokens * max(engines, 1) / max(len(d.members.Members()), 1)
}
