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
	// drainQuietPeriod is how long there must be no request and no open connection before the process ends.
	drainQuietPeriod = 250 * time.Millisecond
	// drainPollInterval is the time between two checks for requests and open connections.
	drainPollInterval = 10 * time.Millisecond
)

// drain reports the instance as not ready, hands back the lease, waits until the load balancer has noticed, and lets the requests in
// progress finish.
func (d *Daemon) drain(callers net.Listener) {
	s := d.settings.Server
	d.draining.Store(true)
	d.log.Info().Dur("delay", s.DrainDelay).Dur("timeout", s.DrainTimeout).Msg("edge: draining")
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout-drainMargin)
	defer cancel()
	releaseCtx, stop := context.WithTimeout(ctx, s.DrainDelay)
	err := d.leaseKeeper.Release(releaseCtx)
	if err != nil {
		d.log.Warn().Err(err).Msg("weights: lease not handed back")
	}
	<-releaseCtx.Done()
	stop()
	d.stopping.Store(true)
	_ = callers.Close()
	d.awaitRequests(ctx)
	if running := d.running.Load(); running > 0 {
		d.log.Error().Int64("requests", running).Msg("edge: requests were cut")
	}
}

// awaitRequests waits for the requests in progress and closes each connection once it carries none.
func (d *Daemon) awaitRequests(ctx context.Context) {
	quiet := time.Duration(0)
	for quiet < drainQuietPeriod && ctx.Err() == nil {
		lrsupervise.Sleep(ctx, drainPollInterval)
		quiet += drainPollInterval
		if d.idleCloser.CloseIdle(time.Now()) > 0 || d.running.Load() > 0 {
			quiet = 0
		}
	}
}

// closeWhileDraining ends each keep-alive connection with its next response once a planned stop has begun.
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
