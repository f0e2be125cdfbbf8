// Package lrdaemon assembles an instance of the router from its components and runs it. Work that goes on for the whole
// run, such as heartbeats, is registered as duties of a supervisor. A graceful shutdown drains the running requests, then
// calls the exit hooks of the components.
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

	"github.com/lavenderrouter/lavenderrouter/internal/lrclients"
	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrgrant"
	"github.com/lavenderrouter/lavenderrouter/internal/lrledger"
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

const maxExplanations = 4096

// A Daemon is one instance of lavenderrouter.
type Daemon struct {
	settings lrsettings.Settings
	log      zerolog.Logger
	clock    func() time.Time
	started  time.Time

	// settingsError is the error in the files that the settings name, or nil.
	settingsError error
	transports    transports

	supervisor   *lrsupervise.Supervisor
	platform     lrplatform.Platform
	peers        *grpc.Server
	pool         *lrpeer.Pool
	members      lrpeer.MemberSource
	membership   *lrpeer.Membership
	instanceList *lrpeer.InstanceList
	follower     *lrstate.Follower
	relay        *lrstate.Relay
	freshness    *lrstate.Freshness
	placer       lrroute.Placer
	registry     *lrregistry.Registry
	queue        lrqueue.Queue
	runner       *lrstream.Runner
	budget       *lrretry.Budget
	ejector      *lrretry.Ejector
	limiter      lrlimit.Limiter
	limitViews   *lrgrant.ViewKeeper
	paid         *lrledger.Ledger
	orders       *lrorders.Controller
	services     lrservice.Client
	gateway      *lrgateway.Gateway
	clients      *lrclients.Clients
	metrics      *lrmetric.Metrics
	recorder     *lrexplain.Recorder
	draining     atomic.Bool
	// stopNow is closed to make a graceful shutdown abort the running requests.
	stopNow     chan struct{}
	stopNowOnce sync.Once
	// exitHooks are called in order during a graceful shutdown, after the last request has ended.
	exitHooks []func(ctx context.Context)
	done      chan struct{}
}

// New returns a Daemon that is ready to Run.
func New(settings lrsettings.Settings, log zerolog.Logger) *Daemon {
	d := &Daemon{
		settings: settings, log: log, clock: time.Now, started: time.Now(),
		supervisor: lrsupervise.New("daemon", log),
		metrics:    lrmetric.New(), recorder: lrexplain.NewRecorder(maxExplanations), done: make(chan struct{}), stopNow: make(chan struct{}),
	}
	d.clients = lrclients.New(settings, lrgateway.EncodeRefusal, log)
	d.metrics.Registry.MustRegister(d.clients.Collectors()...)
	d.wireTransports()
	d.platform = lrplatform.NewClient(settings.Platform.URL,
		append(d.transports.platform, lrplatform.WithCallTimeout(settings.Platform.CallTimeout), lrplatform.WithLog(log),
			lrplatform.WithEraObserver(d.recordEra))...)
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

// recordEra applies the era that an answer of the platform names.
func (d *Daemon) recordEra(era uint64) {
	d.paid.RecordEra(d.clock(), era)
	d.relay.RecordEra(era)
}

func (d *Daemon) wireGateway() {
	s := d.settings.Server
	dependencies := lrgateway.Dependencies{
		Config: d.follower, Freshness: d.freshness, Limiter: d.limiter, Queue: d.queue, Runner: d.runner,
		Servers: d.registry, Versions: d.registry, Services: d.services, Paid: d.paid, Recorder: d.recorder,
		Metrics: d.metrics, Log: d.log, Clock: d.clock, Budget: d.budget, Ejector: d.ejector,
	}
	d.gateway = lrgateway.New(dependencies, lrgateway.Options{
		MaxBodyBytes: s.MaxBodyBytes, BodyTimeout: s.BodyTimeout, StreamTimeout: s.StreamTimeout, WriteTimeout: s.WriteTimeout,
		MaxConnectionsPerAccount: s.MaxConnectionsPerAccount, Memory: d.clients.Memory(),
	})
	d.follower.OnChange(d.gateway.Apply)
}

// ConfigVersion returns the version of the configuration that is active on this instance.
func (d *Daemon) ConfigVersion() uint64 { return d.follower.Snapshot().Version() }

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until the context ends, then shuts down gracefully. It returns an error when the settings are invalid, an
// address cannot be listened on, or the shutdown aborted requests.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	if d.settingsError != nil {
		return d.settingsError
	}
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := d.withWriteTimeout(d.clients.CallersServer(d.callerHandler()))
	adminServer := d.withWriteTimeout(d.clients.OperatorsServer(d.adminHandler()))
	d.supervisor.Go("run", func() { _ = d.supervisor.Run(duties) })
	d.supervisor.Go("servePeers", func() { _ = d.peers.Serve(listeners.peers) })
	d.supervisor.Go("serveAdmin", func() { _ = adminServer.Serve(d.clients.OperatorsListener(listeners.admin)) })
	callers := d.clients.CallersListener(d.transports.withTLS(listeners.callers))
	d.supervisor.Go("serveCallers", func() { _ = server.Serve(callers) })
	d.log.Info().Str("address", d.settings.Instance.Address).Msg("daemon: serving")

	<-ctx.Done()
	err = d.drain(server)
	d.runExitHooks()
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

func (d *Daemon) withWriteTimeout(server *http.Server) *http.Server {
	server.WriteTimeout = d.settings.Server.StreamTimeout + d.settings.Server.WriteTimeout
	return server
}

// runExitHooks lets the components return grants and leases and leave the membership, so that other instances need not wait
// until these expire.
func (d *Daemon) runExitHooks() {
	for _, hook := range d.exitHooks {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Platform.CallTimeout)
		hook(ctx)
		cancel()
	}
}
