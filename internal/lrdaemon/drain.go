package lrdaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// endGrace is the time that requests get to write their last error event when a planned stop takes too long.
const endGrace = 200 * time.Millisecond

// ErrCut means that a planned stop cut requests, since its time was over or the operator asked for it.
var ErrCut = errs.Class("stop")

// StopNow makes a planned stop that is under way cut the requests that still run.
func (d *Daemon) StopNow() { d.hurryOnce.Do(func() { close(d.hurry) }) }

// drain ends readiness, waits until the balancer has seen it, and lets every running request finish.
func (d *Daemon) drain(server *http.Server) error {
	d.draining.Store(true)
	d.log.Info().Int("running", d.gateway.Running()).Msg("daemon: draining")
	d.awaitBalancer()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Server.DrainTimeout)
	defer cancel()
	d.supervisor.Go("hurry", func() {
		select {
		case <-d.hurry:
			cancel()
		case <-ctx.Done():
		}
	})
	err := server.Shutdown(ctx)
	cut := d.gateway.Running()
	if err == nil || cut == 0 {
		_ = server.Close()
		d.log.Info().Msg("daemon: stopped, no request was cut")
		return nil
	}
	d.gateway.EndAll("the instance is stopping")
	time.Sleep(endGrace)
	_ = server.Close()
	err = d.cutError(ctx, cut)
	d.log.Error().Err(err).Int("cut", cut).Msg("daemon: stopped, requests were cut")
	return err
}

func (d *Daemon) cutError(ctx context.Context, cut int) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ErrCut.New("%d requests were cut after drainTimeout of %s; raise it", cut, d.settings.Server.DrainTimeout)
	}
	return ErrCut.New("%d requests were cut at the second signal; send one signal alone to let them finish", cut)
}

// awaitBalancer waits until the balancer has seen that the instance is not ready.
func (d *Daemon) awaitBalancer() {
	timer := time.NewTimer(d.settings.Server.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.hurry:
	}
}
