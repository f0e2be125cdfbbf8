package lredge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

const (
	// drainMargin is the time between the end of a planned stop and the moment at which the process is killed.
	drainMargin = 400 * time.Millisecond
	// lastQuiet is how long no request may run before the process ends, and lastPoll the time between two looks.
	lastQuiet = 250 * time.Millisecond
	lastPoll  = 10 * time.Millisecond
)

// drain ends readiness, waits until the balancer has seen it, and lets every running request finish.
func (d *Daemon) drain(callers net.Listener) {
	s := d.settings.Server
	d.draining.Store(true)
	d.log.Info().Dur("delay", s.DrainDelay).Dur("timeout", s.DrainTimeout).Msg("edge: draining")
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout-drainMargin)
	defer cancel()
	release, stop := context.WithTimeout(ctx, s.DrainDelay)
	err := d.keeper.Release(release)
	if err != nil {
		d.log.Warn().Err(err).Msg("weights: lease not handed back")
	}
	<-release.Done()
	stop()
	d.stopping.Store(true)
	_ = callers.Close()
	d.awaitLast(ctx)
	if running := d.running.Load(); running > 0 {
		d.log.Error().Int64("requests", running).Msg("edge: requests were cut")
	}
}

// awaitLast lets every request finish and closes each connection once it carries none.
func (d *Daemon) awaitLast(ctx context.Context) {
	quiet := time.Duration(0)
	for quiet < lastQuiet && ctx.Err() == nil {
		lrsupervise.Sleep(ctx, lastPoll)
		quiet += lastPoll
		if d.idler.CloseIdle(time.Now()) > 0 || d.running.Load() > 0 {
			quiet = 0
		}
	}
}

// closeWhileDraining ends each kept connection with its next answer once a planned stop has begun.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.running.Add(1)
		defer d.running.Add(-1)
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
