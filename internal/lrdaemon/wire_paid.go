package lrdaemon

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrledger"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

const (
	// cleanInterval is the time between two steps of the removal of expired records of paid actions.
	cleanInterval = time.Minute
	// confirmInterval is the time between two checks for records of paid actions to be read again.
	confirmInterval = time.Second
)

// wirePaid creates the runner of paid actions. A graceful shutdown waits for the actions that are in progress.
func (d *Daemon) wirePaid() {
	options := lrledger.DefaultOptions(d.settings.Instance.Name, d.settings.Paid.CallTimeout)
	// Each instance that has sent actions of late learns of the platform's return within one check, and writes lost records again with the next
	// one at the latest.
	options.RestoreHold = 2*confirmInterval + d.settings.Platform.CallTimeout
	ledger := lrledger.New(lrledger.Dependencies{
		Store: d.platform, Services: d.services, Servers: d.registry, Log: d.log, Clock: d.clock,
		RecordViolation: func(invariant string) { d.metrics.Violations.WithLabelValues(invariant).Inc() },
	}, options)
	d.paid = ledger
	d.exitHooks = append(d.exitHooks, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Server.DrainTimeout)
		defer cancel()
		ledger.Close(ctx)
	})
	d.supervisor.Add("confirmPaid", lrsupervise.Every(confirmInterval, ledger.ConfirmRecords))
	cleaner := lrledger.NewCleaner(d.platform, d.members, d.settings.Paid.Retention, d.log)
	d.supervisor.Add("expirePaid", lrsupervise.Every(cleanInterval, cleaner.Clean))
}
