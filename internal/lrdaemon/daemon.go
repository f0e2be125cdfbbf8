// Package lrdaemon puts the parts of the daemon together and runs them under one supervisor.
package lrdaemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrmetric"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	explanationRoom = 4096
	idleEngineConns = 256
)

// A Daemon is one instance of lavenderrouter.
type Daemon struct {
	settings lrsettings.Settings
	log      zerolog.Logger
	clock    func() time.Time
	started  time.Time

	platform lrplatform.Platform
	follower *lrstate.Follower
	registry *lrregistry.Registry
	gateway  *lrgateway.Gateway
	metrics  *lrmetric.Metrics
	recorder *lrexplain.Recorder
	draining atomic.Bool
	done     chan struct{}
}

// New returns a Daemon that does not run yet.
func New(settings lrsettings.Settings, log zerolog.Logger) *Daemon {
	d := &Daemon{
		settings: settings, log: log, clock: time.Now, started: time.Now(),
		metrics: lrmetric.New(), recorder: lrexplain.NewRecorder(explanationRoom), done: make(chan struct{}),
	}
	d.platform = lrplatform.NewClient(settings.Platform.URL, lrplatform.WithCallTimeout(settings.Platform.CallTimeout))
	d.follower = lrstate.NewFollower(d.platform, log)
	placer := lrroute.NewLeastLoaded()
	d.registry = lrregistry.New(settings.Instance.Zone, d.platform, lrengine.NewDialer(engineHTTPClient()), placer, log)
	d.gateway = d.newGateway(placer)
	d.follower.OnChange(d.gateway.Apply)
	return d
}

func (d *Daemon) newGateway(placer lrroute.Placer) *lrgateway.Gateway {
	s := d.settings
	runner := lrstream.NewRunner(d.registry, placer, d.clock, lrstream.Options{
		MaxAttempts: s.Routing.MaxAttempts, EventTimeout: s.Routing.EventTimeout,
	}, d.log)
	parts := lrgateway.Parts{
		Config: d.follower, Limiter: lrlimit.NewLocal(1), Queue: lrqueue.NewUnbounded(), Runner: runner,
		Servers: d.registry, Services: lrservice.NewClient(s.Server.MaxBodyBytes), Recorder: d.recorder,
		Metrics: d.metrics, Log: d.log, Clock: d.clock,
	}
	return lrgateway.New(parts, lrgateway.Options{
		MaxBodyBytes: s.Server.MaxBodyBytes, BodyTimeout: s.Server.BodyTimeout, StreamTimeout: s.Server.StreamTimeout,
		MaxConnectionsPerAccount: s.Server.MaxConnectionsPerAccount,
	})
}

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until the context ends, then stops without cutting a request.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	callers, err := net.Listen("tcp", d.settings.Instance.Address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	admin, err := net.Listen("tcp", d.settings.Instance.AdminAddress)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	supervisor := d.newSupervisor()
	go func() { _ = supervisor.Run(duties) }()
	server := d.newServer(d.callerHandler())
	adminServer := d.newServer(d.adminHandler())
	go func() { _ = server.Serve(callers) }()
	go func() { _ = adminServer.Serve(admin) }()
	d.log.Info().Str("address", callers.Addr().String()).Msg("daemon: serving")

	<-ctx.Done()
	err = d.drain(server)
	stop()
	<-supervisor.Done()
	_ = adminServer.Close()
	return err
}

func (d *Daemon) newSupervisor() *lrsupervise.Supervisor {
	supervisor := lrsupervise.New("daemon", d.log)
	supervisor.Add("followConfiguration", d.follower.Run)
	supervisor.Add("refreshInstances", lrsupervise.Every(d.settings.Platform.ListInterval, d.registry.RefreshList))
	supervisor.Add("refreshLoads", lrsupervise.Every(d.settings.Routing.LoadInterval, d.registry.RefreshLoads))
	return supervisor
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	s := d.settings.Server
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, MaxHeaderBytes: s.MaxHeaderBytes,
	}
}

// drain ends readiness, waits until the balancer has seen it, and lets every running request finish.
func (d *Daemon) drain(server *http.Server) error {
	d.draining.Store(true)
	d.log.Info().Int("running", d.gateway.Running()).Msg("daemon: draining")
	time.Sleep(d.settings.Server.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Server.DrainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		cut := d.gateway.Running()
		_ = server.Close()
		return fmt.Errorf("drain: %d requests were cut after %s; raise drainTimeout: %w", cut, d.settings.Server.DrainTimeout, err)
	}
	d.log.Info().Msg("daemon: stopped, no request was cut")
	return nil
}

func engineHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleEngineConns, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}
