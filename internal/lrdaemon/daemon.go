// Package lrdaemon puts the parts of the daemon together and runs them under one supervisor.
package lrdaemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrgrant"
	"github.com/lavenderrouter/lavenderrouter/internal/lrmetric"
	"github.com/lavenderrouter/lavenderrouter/internal/lrorders"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const explanationRoom = 4096

// A Daemon is one instance of lavenderrouter.
type Daemon struct {
	settings lrsettings.Settings
	log      zerolog.Logger
	clock    func() time.Time
	started  time.Time

	// invalid says what is wrong with the files that the settings name.
	invalid    error
	transports transports

	supervisor *lrsupervise.Supervisor
	platform   lrplatform.Platform
	peers      *grpc.Server
	pool       *lrpeer.Pool
	roster     lrpeer.Roster
	membership *lrpeer.Membership
	listing    *lrpeer.Listing
	follower   *lrstate.Follower
	relay      *lrstate.Relay
	freshness  *lrstate.Freshness
	placer     lrroute.Placer
	registry   *lrregistry.Registry
	queue      lrqueue.Queue
	runner     *lrstream.Runner
	budget     *lrretry.Budget
	ejector    *lrretry.Ejector
	limiter    lrlimit.Limiter
	keeper     *lrgrant.Keeper
	paid       lrgateway.PaidRunner
	orders     *lrorders.Duty
	services   lrservice.Client
	gateway    *lrgateway.Gateway
	metrics    *lrmetric.Metrics
	recorder   *lrexplain.Recorder
	draining   atomic.Bool
	// hurry is closed when running requests shall be cut.
	hurry     chan struct{}
	hurryOnce sync.Once
	// beforeExit are called in order at a planned stop, when the last request has ended.
	beforeExit []func(ctx context.Context)
	done       chan struct{}
}

// New returns a Daemon that does not run yet.
func New(settings lrsettings.Settings, log zerolog.Logger) *Daemon {
	d := &Daemon{
		settings: settings, log: log, clock: time.Now, started: time.Now(),
		supervisor: lrsupervise.New("daemon", log),
		metrics:    lrmetric.New(), recorder: lrexplain.NewRecorder(explanationRoom), done: make(chan struct{}), hurry: make(chan struct{}),
	}
	d.wireTransports()
	d.platform = lrplatform.NewClient(settings.Platform.URL,
		append(d.transports.platform, lrplatform.WithCallTimeout(settings.Platform.CallTimeout))...)
	d.services = lrservice.NewClient(settings.Server.MaxBodyBytes)
	d.wirePeers()
	d.wireConfiguration()
	d.wireRouting()
	d.wireLimits()
	d.wirePaid()
	d.wireOrders()
	d.wireGateway()
	return d
}

func (d *Daemon) wireGateway() {
	s := d.settings.Server
	parts := lrgateway.Parts{
		Config: d.follower, Freshness: d.freshness, Limiter: d.limiter, Queue: d.queue, Runner: d.runner,
		Servers: d.registry, Versions: d.registry, Services: d.services, Paid: d.paid, Recorder: d.recorder,
		Metrics: d.metrics, Log: d.log, Clock: d.clock, Budget: d.budget, Ejector: d.ejector,
	}
	d.gateway = lrgateway.New(parts, lrgateway.Options{
		MaxBodyBytes: s.MaxBodyBytes, BodyTimeout: s.BodyTimeout, StreamTimeout: s.StreamTimeout, WriteTimeout: s.WriteTimeout,
		MaxConnectionsPerAccount: s.MaxConnectionsPerAccount,
	})
	d.follower.OnChange(d.gateway.Apply)
}

// ConfigVersion returns the version of the configuration in force on this instance.
func (d *Daemon) ConfigVersion() uint64 { return d.follower.Snapshot().Version() }

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until the context ends, then stops without cutting a request.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	if d.invalid != nil {
		return d.invalid
	}
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := d.newServer(d.callerHandler())
	adminServer := d.newServer(d.adminHandler())
	d.supervisor.Go("run", func() { _ = d.supervisor.Run(duties) })
	d.supervisor.Go("servePeers", func() { _ = d.peers.Serve(listeners.peers) })
	d.supervisor.Go("serveAdmin", func() { _ = adminServer.Serve(listeners.admin) })
	callers := lrframe.NewListener(d.transports.protect(listeners.callers), d.settings.Server.MaxHeaderBytes)
	d.supervisor.Go("serveCallers", func() { _ = server.Serve(callers) })
	d.log.Info().Str("address", d.settings.Instance.Address).Msg("daemon: serving")

	<-ctx.Done()
	err = d.drain(server)
	d.handBack()
	stop()
	<-d.supervisor.Done()
	d.peers.Stop()
	d.pool.Close()
	_ = adminServer.Close()
	return err
}

type listeners struct{ callers, admin, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	l.callers, err = net.Listen("tcp", d.settings.Instance.Address)
	if err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	l.admin, err = net.Listen("tcp", d.settings.Instance.AdminAddress)
	if err != nil {
		return l, fmt.Errorf("listen for operators: %w", err)
	}
	l.peers, err = net.Listen("tcp", d.settings.Instance.PeerAddress)
	if err != nil {
		return l, fmt.Errorf("listen for peers: %w", err)
	}
	return l, nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	s := d.settings.Server
	return &http.Server{
		Handler: lrframe.CloseAfterChunked(handler), ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, MaxHeaderBytes: s.MaxHeaderBytes,
		WriteTimeout: s.StreamTimeout + s.WriteTimeout, ConnContext: lrframe.ConnContext,
	}
}

// handBack lets every part return what it holds of others: grants, leases, its place in the membership.
func (d *Daemon) handBack() {
	for _, call := range d.beforeExit {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Platform.CallTimeout)
		call(ctx)
		cancel()
	}
}
