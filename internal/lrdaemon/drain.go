package lrdaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// abortGrace is the time that aborted requests have to write their final error event.
const abortGrace = 200 * time.Millisecond

// ErrAborted means that a graceful shutdown aborted requests, because it timed out or the operator requested it.
var ErrAborted = errs.Class("stop")

// StopNow makes a graceful shutdown in progress abort the requests that still run.
func (d *Daemon) StopNow() { d.stopNowOnce.Do(func() { close(d.stopNow) }) }

// drain ends readiness, waits until the load balancer has noticed, refuses later requests, and waits for the running ones to finish.
func (d *Daemon) drain(server *http.Server) error {
	d.draining.Store(true)
	d.log.Info().Int("running", d.gateway.ActiveCalls()).Msg("daemon: draining")
	d.awaitLoadBalancer()
	d.gateway.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Server.DrainTimeout)
	defer cancel()
	d.supervisor.Go("hurry", func() {
		select {
		case <-d.stopNow:
			cancel()
		case <-ctx.Done():
		}
	})
	err := server.Shutdown(ctx)
	aborted := d.gateway.ActiveCalls()
	if err == nil || aborted == 0 {
		_ = server.Close()
		d.log.Info().Msg("daemon: stopped, no request was cut")
		return nil
	}
	d.gateway.CancelAll("the instance is stopping")
	time.Sleep(abortGrace)
	_ = server.Close()
	err = d.abortError(ctx, aborted)
	d.log.Error().Err(err).Int("cut", aborted).Msg("daemon: stopped, requests were cut")
	return err
}

func (d *Daemon) abortError(ctx context.Context, aborted int) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ErrAborted.New("%d requests were aborted after drainTimeout of %s; raise it", aborted, d.settings.Server.DrainTimeout)
	}
	return ErrAborted.New("%d requests were aborted at the second signal; send one signal alone to let them finish", aborted)
}

// awaitLoadBalancer waits DrainDelay for the load balancer to notice that the instance is not ready, unless StopNow is called.
func (d *Daemon) awaitLoadBalancer() {
	timer := time.NewTimer(d.settings.Server.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.stopNow:
	}
}
