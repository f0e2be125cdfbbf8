package lredge

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// responseCheckInterval is the time between two checks which backend servers have stopped responding.
const responseCheckInterval = 40 * time.Millisecond

// wireResponses makes the instance look for backend servers that have stopped responding.
func (d *Daemon) wireResponses() {
	d.responses = lrretry.NewResponseMonitor(lrretry.Fleet{
		Instances: func() int { return d.sharer.Instances() }, Reached: func() int { return d.sharer.Reached(d.clock()) },
		Delay: func() time.Duration { return d.sharer.PropagationDelay() },
	}, uint64(d.clock().UnixNano()))
	d.directory.OnRestart(func(server string) {
		s, ok := d.directory.Server(server)
		if ok {
			d.responses.Restarted(d.clock(), server, s.Incarnation)
		}
	})
	d.supervisor.Add("checkResponses", lrsupervise.Every(responseCheckInterval, func(_ context.Context, now time.Time) {
		for _, c := range d.responses.Step(now) {
			d.logSuspicion(c)
		}
	}))
}

func (d *Daemon) logSuspicion(c lrretry.SuspicionChange) {
	if c.IsSuspected {
		d.log.Warn().Str("server", c.Server).Dur("silence", c.Silence).Int("attempts", c.Attempts).Msg("backend server: does not respond")
		return
	}
	d.log.Info().Str("server", c.Server).Msg("backend server: no longer suspected")
}
