// Package lredge puts the parts of an instance together that serves behind a platform's balancer, and runs them under
// one supervisor.
package lredge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpipeline"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrrollout"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// The names of the feeds.
const (
	feedTables    = "tables"
	feedServers   = "servers"
	feedWanted    = "wanted"
	feedInstances = "instances"
)

const (
	// rolloutLease is the name of the lease under which orders are given.
	rolloutLease = "rollout"
	// contendPause is the time between two decisions whether to look at the lease.
	contendPause = 250 * time.Millisecond
	// rolloutPause is the time between two looks at the engines.
	rolloutPause = 25 * time.Millisecond
	// sharePause is the time between two looks at which instances are due for an exchange.
	sharePause = 25 * time.Millisecond
	// expirePause is the time between two looks for entries whose grace is over.
	expirePause = 200 * time.Millisecond
	// lapseGrace is how long after an outage of the platform missing entries are believed in.
	lapseGrace = 2200 * time.Millisecond
	// serverWatchWait is how long one instance watches the backend servers before it asks again, so that the others soon find
	// out that it no longer hears anything.
	serverWatchWait = 800 * time.Millisecond
	// registerPause is the time between two tries to register the instance.
	registerPause = 500 * time.Millisecond
	// retainPause is the time between two closings of connections that are not needed.
	retainPause = time.Second
	// metricsPath is where metrics are served.
	metricsPath = "/metrics"
)

// A Daemon is one instance.
type Daemon struct {
	settings lrsettings.Settings
	ports    Ports
	log      zerolog.Logger
	clock    func() time.Time
	process  string

	directory *lrfleet.Directory
	balancer  *lrbalance.Balancer
	limiter   *lrlimit.Shared
	crashes   *lrfleet.Crashes
	sharer    *lrfleet.Sharer
	kept      *lrfleet.KeptWatch
	keeper    *lrlease.Keeper
	weights   *lrweights.Duty
	pipeline  *lrpipeline.Pipeline
	metrics   *metrics
	pool      *lrpeer.Pool
	peers     *grpc.Server

	tables    *lrfleet.Follower[lrtable.Spec]
	servers   *lrfleet.Follower[lrfleet.Server]
	wanted    *lrfleet.Follower[lrfleet.Wanted]
	instances *lrfleet.Follower[lrfleet.Instance]

	supervisor *lrsupervise.Supervisor
	// looks is used by keepLease alone.
	looks    leaseLooks
	draining atomic.Bool
	// stopping tells that a planned stop has come so far that no more requests are taken.
	stopping atomic.Bool
	running  atomic.Int64
	idler    *lrframe.Idler
	done     chan struct{}
}

// New returns a Daemon that does not run yet.
func New(settings lrsettings.Settings, ports Ports, clock func() time.Time, log zerolog.Logger) *Daemon {
	d := &Daemon{
		settings: settings, ports: ports, log: log, clock: clock, done: make(chan struct{}), idler: lrframe.NewIdler(),
		process:   strconv.Itoa(os.Getpid()) + "." + strconv.FormatInt(clock().UnixNano(), 36),
		directory: lrfleet.NewDirectory(log), crashes: lrfleet.NewCrashes(), limiter: lrlimit.NewShared(settings.Instance.FirstStart),
		metrics: newMetrics(), supervisor: lrsupervise.New("edge", log),
		pool: lrpeer.NewPool(insecure.NewCredentials()),
	}
	d.balancer = lrbalance.New(lrbalance.Options{
		PrefillPerMilli: float64(settings.Routing.PrefillPerSecond) / 1000, Zone: settings.Instance.Zone, Seed: uint64(clock().UnixNano()),
	})
	d.directory.OnRestart(d.balancer.Forget)
	d.wireFeeds()
	d.wireWeights()
	d.wireKept()
	d.wireSharer()
	d.wireCaches()
	d.wirePipeline()
	d.registerGauges()
	d.metrics.registry.MustRegister(ports.Collectors...)
	for name, duty := range ports.Duties {
		d.supervisor.Add(name, duty)
	}
	return d
}

func (d *Daemon) wireFeeds() {
	p := d.settings.Platform
	options := func(name string, interval time.Duration) lrfleet.FollowOptions {
		return lrfleet.FollowOptions{
			Name: name, Wait: p.WatchWait, Interval: interval, Delay: d.turnDelay,
			Watches: func() bool { return d.sharer.Rank(d.clock()) < p.Watchers },
		}
	}
	d.tables = lrfleet.NewFollower(d.ports.Tables, options(feedTables, p.RefreshInterval), d.log,
		func(_ time.Time, entries map[string]lrtable.Spec) {
			spec, ok := entries[d.ports.TableName]
			if ok {
				d.directory.SetSpec(spec)
			}
		})
	servers := options(feedServers, p.ServerInterval)
	servers.IsChanging, servers.LapseGrace, servers.Wait = true, lapseGrace, serverWatchWait
	d.servers = lrfleet.NewFollower(d.ports.Servers, servers, d.log,
		func(_ time.Time, entries map[string]lrfleet.Server) { d.directory.SetServers(entries) })
	d.wanted = lrfleet.NewFollower(d.ports.Wanted, options(feedWanted, p.RefreshInterval), d.log,
		func(now time.Time, entries map[string]lrfleet.Wanted) {
			for _, w := range entries {
				d.directory.SetWanted(now, w.Model, w.Version)
			}
		})
	instances := options(feedInstances, p.InstanceInterval)
	instances.Watches = func() bool { return false }
	d.instances = lrfleet.NewFollower(d.ports.Instances, instances, d.log,
		func(now time.Time, entries map[string]lrfleet.Instance) { d.sharer.SetInstances(now, entries) })
	d.supervisor.Add("followTables", d.tables.Run)
	d.supervisor.Add("followServers", d.servers.Run)
	d.supervisor.Add("followWanted", d.wanted.Run)
	d.supervisor.Add("followInstances", d.instances.Run)
	d.supervisor.Add("refreshTables", d.tables.RunRefresh)
	d.supervisor.Add("refreshWanted", d.wanted.RunRefresh)
	d.supervisor.Add("refreshInstances", d.instances.RunRefresh)
	d.supervisor.Add("expireServers", lrsupervise.Every(expirePause, func(_ context.Context, now time.Time) { d.servers.Expire(now) }))
}

// turnDelay returns how much longer than others this instance waits with what one instance is enough for.
func (d *Daemon) turnDelay() time.Duration {
	return turnDelay(d.sharer.Rank(d.clock()), d.sharer.NewsDelay())
}

func (d *Daemon) wireWeights() {
	o := d.settings.Orders
	d.keeper = lrlease.NewKeeper(d.ports.Store, rolloutLease, d.settings.Instance.Name, o.LeaseValidity, lrclock.Boot)
	d.weights = lrweights.NewDuty(lrweights.Parts{
		Instance: d.settings.Instance.Name, Keeper: d.keeper, Engines: d.ports.Engines, Directory: d.directory, Balancer: d.balancer,
		Options:    lrrollout.Options{MinAtOnce: o.MinAtOnce, Share: o.Share, LateShare: o.LateShare, LateAfter: o.LateAfter},
		LeaseClock: lrclock.Boot, Observer: d.metrics, Go: d.supervisor.Go, Log: d.log,
		Tell: func(now time.Time, note lrfleet.WeightsNote) { d.sharer.TellWeights(now, note) },
	})
	d.supervisor.Add("keepLease", lrsupervise.Every(contendPause, d.keepLease))
	d.supervisor.Add("rollOut", lrsupervise.Every(rolloutPause, d.weights.Step))
}

// keepLease renews the lease, or contends for it while no other instance is known to hold it. An instance that is about to end leaves
// it to others.
func (d *Daemon) keepLease(ctx context.Context, now time.Time) {
	if d.draining.Load() {
		return
	}
	rank := d.sharer.Rank(now)
	p := place{
		rank: rank, delay: turnDelay(rank, d.sharer.NewsDelay()), standsBy: d.sharer.IsFirstOfZone(),
		isHolder: d.weights.IsHolder(now), hearsHolder: d.sharer.HolderHeard(now),
	}
	if d.looks.isDue(now, p) {
		d.stepLease(ctx)
	}
}

func (d *Daemon) stepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Orders.LeaseValidity)
	defer cancel()
	err := d.keeper.Step(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("weights: lease not confirmed")
	}
}

func (d *Daemon) wireSharer() {
	d.sharer = lrfleet.NewSharer(lrfleet.SharerParts{
		Self:      d.self(),
		Directory: d.directory, Balancer: d.balancer, Limiter: d.limiter, Crashes: d.crashes, Kept: d.kept, Rollout: d.weights, Pool: d.pool,
		Feeds: d.feeds(), Go: d.supervisor.Go, Clock: d.clock, Log: d.log,
	}, !d.settings.Instance.FirstStart)
	d.peers = grpc.NewServer(lrpeer.ServerOptions(insecure.NewCredentials(), func(method string, value any) {
		d.log.Error().Str("method", method).Str("panic", fmt.Sprint(value)).Msg("peers: call failed")
	})...)
	lrpeerpb.RegisterFleetServer(d.peers, d.sharer)
	d.supervisor.Add("share", lrsupervise.Every(sharePause, d.sharer.Step))
	d.supervisor.Add("register", d.register)
}

func (d *Daemon) self() lrfleet.Instance {
	i := d.settings.Instance
	address := cmp.Or(i.PeerAdvertised, i.PeerAddress)
	return lrfleet.Instance{Name: i.Name, Zone: i.Zone, PeerAddress: address, Process: d.process, Strength: i.Strength}
}

// register tells the other instances of this one, through the store.
func (d *Daemon) register(ctx context.Context) error {
	value, err := json.Marshal(d.self())
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	for ctx.Err() == nil {
		err = d.registerOnce(ctx, value)
		if err == nil {
			<-ctx.Done()
			return nil
		}
		d.log.Warn().Err(err).Msg("edge: not registered yet")
		lrsupervise.Sleep(ctx, registerPause)
	}
	return nil
}

func (d *Daemon) registerOnce(ctx context.Context, value []byte) error {
	kind, name := d.ports.InstancesKind, d.settings.Instance.Name
	if d.settings.Instance.FirstStart {
		_, err := d.ports.Store.Create(ctx, kind, name, value)
		if !lrplatform.ErrConflict.Has(err) {
			return err
		}
	}
	before, err := d.ports.Store.Get(ctx, kind, name)
	if lrplatform.ErrNotFound.Has(err) {
		_, err = d.ports.Store.Create(ctx, kind, name, value)
		return err
	}
	if err != nil {
		return err
	}
	_, err = d.ports.Store.Update(ctx, before.WithValue(value))
	return err
}

func (d *Daemon) wirePipeline() {
	d.pipeline = lrpipeline.New(lrpipeline.Parts{
		Directory: d.directory, Balancer: d.balancer, Limiter: d.limiter,
		Budgets: newBudgets(d.settings.Retries, d.sharer.Instances, d.metrics.repeated), SilentZones: d.sharer.SilentZones,
		Ejector: lrretry.NewEjector(lrretry.EjectorOptions{
			Failures: ejectAfter, Duration: ejectFor, MaxDuration: ejectForMax, ProbeTimeout: ejectProbe,
		}),
		Crashes: d.crashes, Kept: d.kept, Held: lrmemory.NewRoom(d.settings.Server.MaxHeldBytes), Backend: d.ports.Backend, Instances: d.sharer.Instances, Observer: d.metrics, Log: d.log, Clock: d.clock,
		PauseClock: lrclock.Boot, IsStopping: d.stopping.Load,
	})
	d.supervisor.Add("retainConnections", lrsupervise.Every(retainPause, func(context.Context, time.Time) {
		addresses := map[string]bool{}
		for _, s := range d.directory.All() {
			addresses[s.Address] = true
		}
		d.ports.Connections.Retain(addresses)
	}))
}

const (
	// ejectAfter failures in a row take a backend server out of use.
	ejectAfter  = 2
	ejectFor    = 400 * time.Millisecond
	ejectForMax = 3 * time.Second
	ejectProbe  = time.Second
)

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// isReady reports whether new connections shall come here.
func (d *Daemon) isReady() bool {
	return d.directory.Table() != nil && !d.draining.Load() && d.sharer.KnowsLevels(d.clock())
}

// Run serves until the context ends, then stops without cutting a request.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	l, err := d.listen()
	if err != nil {
		return err
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.supervisor.Go("run", func() { _ = d.supervisor.Run(duties) })
	d.supervisor.Go("servePeers", func() { _ = d.peers.Serve(l.peers) })
	admin := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: d.settings.Server.HeaderTimeout}
	d.supervisor.Go("serveAdmin", func() { _ = admin.Serve(l.admin) })
	if l.metrics != nil {
		d.supervisor.Go("serveMetrics", func() { _ = admin.Serve(l.metrics) })
	}
	server := d.callerServer()
	callers := lrframe.NewListener(l.callers, d.settings.Server.MaxHeaderBytes)
	d.supervisor.Go("serveCallers", func() { _ = server.Serve(callers) })
	d.log.Info().Str("address", d.settings.Instance.Address).Str("process", d.process).Msg("edge: started")
	<-ctx.Done()
	d.drain(callers)
	stop()
	<-d.supervisor.Done()
	d.peers.Stop()
	d.pool.Close()
	_ = admin.Close()
	d.log.Info().Msg("edge: stopped")
	return nil
}

func (d *Daemon) callerServer() *http.Server {
	s := d.settings.Server
	handler := d.ports.Handler(d.pipeline, func() int64 {
		table := d.directory.Table()
		if table == nil {
			return s.MaxBodyBytes
		}
		return table.Spec().Limits.MaxBodyBytes
	})
	return &http.Server{
		Handler: lrframe.CloseAfterChunked(d.closeWhileDraining(handler)), ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout,
		MaxHeaderBytes: s.MaxHeaderBytes, ConnContext: lrframe.ConnContext, ConnState: d.idler.ConnState,
	}
}

type listeners struct{ callers, admin, metrics, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	i := d.settings.Instance
	for _, a := range []struct {
		target  *net.Listener
		address string
	}{{&l.callers, i.Address}, {&l.admin, i.AdminAddress}, {&l.peers, i.PeerAddress}, {&l.metrics, i.MetricsAddress}} {
		if a.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", a.address)
		if err != nil {
			return l, fmt.Errorf("listen at %s: %w", a.address, err)
		}
		*a.target = listener
	}
	return l, nil
}
