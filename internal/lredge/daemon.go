// Package lredge assembles an instance that serves behind a platform's load balancer, and runs its background tasks under one
// supervisor.
// A feed is a list of entries that every instance follows: routing tables, backend servers, desired versions of the weights, and
// instances. Work that one instance can do for all, such as reading a feed, is done in the order of a rank: each instance waits a
// little longer than those ranked before it. A lease names the one instance that may give orders, which make engines load or unload
// versions of weights. A KV store is an external store of key/value cache blocks.
package lredge

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclients"
	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpipeline"
	"github.com/lavenderrouter/lavenderrouter/internal/lrrelease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// The names of the feeds.
const (
	feedTables    = "tables"
	feedServers   = "servers"
	feedDesired   = "wanted"
	feedInstances = "instances"
	feedVerdicts  = "verdicts"
	feedRollouts  = "rollouts"
)

const (
	// rolloutLease is the name of the lease whose holder gives orders.
	rolloutLease = "rollout"
	// leaseCheckInterval is the time between two decisions whether to read the lease.
	leaseCheckInterval = 250 * time.Millisecond
	// rolloutInterval is the time between two checks of the engines' versions.
	rolloutInterval = 25 * time.Millisecond
	// shareInterval is the time between two checks which instances are due for an exchange of updates.
	shareInterval = 25 * time.Millisecond
	// expireInterval is the time between two checks for entries whose grace period has ended.
	expireInterval = 200 * time.Millisecond
	// lapseGrace is how long after an outage of the platform entries that are missing from its list are still used.
	lapseGrace = 2200 * time.Millisecond
	// restoreHeartbeats is the number of heartbeats of backend servers after which no entry is from an older copy of the store any more: it
	// removes those of servers that were silent for three of them.
	restoreHeartbeats = 4
	// serverWatchWait limits one watch of the backend servers. It is short so that other instances soon detect that this one no longer
	// receives changes.
	serverWatchWait = 800 * time.Millisecond
	// retainInterval is the time between two rounds that close connections to servers that are no longer listed.
	retainInterval = time.Second
	// metricsPath is the path at which metrics are served.
	metricsPath = "/metrics"
)

// A Daemon is one instance.
type Daemon struct {
	settings lrsettings.Settings
	ports    Ports
	log      zerolog.Logger
	clock    func() time.Time
	// process identifies this run of the instance by its process id and start time.
	process string

	directory    *lrfleet.Directory
	balancer     *lrbalance.Balancer
	limiter      *lrlimit.SharedLimiter
	quarantine   *lrquarantine.Tracker
	notices      *lrnotice.Board
	responses    *lrretry.ResponseMonitor
	sharer       *lrfleet.Sharer
	kvStoreWatch *lrfleet.KVStoreWatch
	leaseKeeper  *lrlease.Keeper
	weights      *lrweights.Updater
	releases     *lrcanary.Board
	releaseDuty  *lrrelease.Duty
	pipeline     *lrpipeline.Pipeline
	metrics      *metrics
	pool         *lrpeer.Pool
	// peers is the gRPC server that other instances call.
	peers *grpc.Server

	eras      *lrfleet.EraTimes
	tables    *lrfleet.Follower[lrtable.Spec]
	servers   *lrfleet.Follower[lrfleet.Server]
	desired   *lrfleet.Follower[lrfleet.DesiredVersion]
	instances *lrfleet.Follower[lrfleet.Instance]
	verdicts  *lrfleet.Follower[lrquarantine.Verdict]
	rollouts  *lrfleet.Follower[lrcanary.Entry]

	supervisor *lrsupervise.Supervisor
	// schedule is used only by keepLease.
	schedule leaseSchedule
	draining atomic.Bool
	// stopping is set once a planned stop has reached the point where requests are no longer accepted.
	stopping atomic.Bool
	// running is the number of requests in progress.
	running    atomic.Int64
	idleCloser *lrframe.IdleCloser
	// untargeted are the names of the routes without a usable target. It is used only by the follower of the routing tables.
	untargeted []string
	done       chan struct{}
	startedAt  time.Time
	// clients holds the clients of all ports for HTTP within the limits.
	clients *lrclients.Clients
}

// New returns a Daemon. It does nothing until Run is called.
func New(settings lrsettings.Settings, ports Ports, clock func() time.Time, log zerolog.Logger) *Daemon {
	d := &Daemon{
		settings: settings, ports: ports, log: log, clock: clock, done: make(chan struct{}), startedAt: clock(), idleCloser: lrframe.NewIdleCloser(),
		process: processName(os.Getpid(), clock()),
		eras:    &lrfleet.EraTimes{}, directory: lrfleet.NewDirectory(log), limiter: lrlimit.NewSharedLimiter(settings.Instance.FirstStart),
		notices: lrnotice.NewBoard(settings.Instance.Name), metrics: newMetrics(), supervisor: lrsupervise.New("edge", log),
		pool: lrpeer.NewPool(insecure.NewCredentials()), clients: lrclients.New(settings, ports.EncodeRefusal, log),
	}
	d.balancer = lrbalance.New(lrbalance.Options{
		PrefillPerMilli: float64(settings.Routing.PrefillPerSecond) / 1000, Zone: settings.Instance.Zone, OutdatedLimit: outdatedLimit(settings.Orders.VersionDeadline),
		EstimateBytes: estimateBytes(settings), Seed: uint64(clock().UnixNano()),
	})
	d.directory.OnRestart(d.balancer.Forget)
	d.wireResponses()
	d.wireFeeds()
	d.wireQuarantine()
	d.wireWeights()
	d.wireReleases()
	d.wireKVStores()
	d.wireSharer()
	d.wireCaches()
	d.wirePipeline()
	d.registerGauges()
	d.metrics.registry.MustRegister(ports.Collectors...)
	d.metrics.registry.MustRegister(d.clients.Collectors()...)
	for name, duty := range ports.Duties {
		d.supervisor.Add(name, duty)
	}
	return d
}

// estimateShare is the part of the memory of the machine in which estimates of the engines' caches are held at most.
const estimateShare = 1.0 / 12

// estimateBytes returns the memory for estimates of the engines' caches.
func estimateBytes(settings lrsettings.Settings) int {
	if settings.Instance.MemoryMB <= 0 {
		return settings.Routing.BeliefBytes
	}
	return min(settings.Routing.BeliefBytes, int(settings.Instance.MemoryMB*estimateShare*(1<<20)))
}

// followerOptions returns the options for a feed that rarely changes.
func followerOptions[T any](d *Daemon, name string, interval time.Duration) lrfleet.FollowerOptions[T] {
	p := d.settings.Platform
	return lrfleet.FollowerOptions[T]{
		Name: name, Wait: p.WatchWait, Interval: interval, Delay: d.rankDelay,
		Watches: func() bool { return d.sharer.Rank(d.clock()) < p.Watchers },
		Eras:    d.eras,
	}
}

func (d *Daemon) wireFeeds() {
	p := d.settings.Platform
	tables := followerOptions[lrtable.Spec](d, feedTables, p.RefreshInterval)
	tables.Latest = later(func(s lrtable.Spec) uint64 { return s.Version })
	d.tables = lrfleet.NewFollower(d.ports.Tables, tables, d.log,
		func(_ time.Time, entries map[string]lrtable.Spec) {
			spec, ok := entries[d.ports.TableName]
			if ok {
				d.directory.SetSpec(spec)
				inForce := d.directory.Table().Spec()
				d.clients.RaiseHeaderBytes(inForce.Limits.MaxHeaderBytes)
				d.reportTargets(inForce)
			}
		})
	servers := followerOptions[lrfleet.Server](d, feedServers, p.ServerInterval)
	servers.IsChanging, servers.LapseGrace, servers.Wait = true, lapseGrace, serverWatchWait
	servers.Restore = &lrfleet.RestorePolicy[lrfleet.Server]{
		Grace: restoreHeartbeats * p.HeartbeatInterval, Merge: lrfleet.LaterServer,
		IsSameStart:  func(removed, listed lrfleet.Server) bool { return listed.Incarnation <= removed.Incarnation },
		IsLaterStart: func(known, listed lrfleet.Server) bool { return listed.Incarnation > known.Incarnation },
	}
	d.servers = lrfleet.NewFollower(d.ports.Servers, servers, d.log,
		func(_ time.Time, entries map[string]lrfleet.Server) { d.directory.SetServers(entries) })
	desired := followerOptions[lrfleet.DesiredVersion](d, feedDesired, p.RefreshInterval)
	desired.Latest = later(func(v lrfleet.DesiredVersion) int64 { return v.Version })
	d.desired = lrfleet.NewFollower(d.ports.DesiredVersions, desired, d.log,
		d.applyDesired)
	instances := followerOptions[lrfleet.Instance](d, feedInstances, p.InstanceInterval)
	instances.Watches = func() bool { return false }
	d.instances = lrfleet.NewFollower(d.ports.Instances, instances, d.log,
		func(now time.Time, entries map[string]lrfleet.Instance) { d.sharer.SetInstances(now, entries) })
	d.supervisor.Add("followTables", d.tables.Run)
	d.supervisor.Add("followServers", d.servers.Run)
	d.supervisor.Add("followWanted", d.desired.Run)
	d.supervisor.Add("followInstances", d.instances.Run)
	d.supervisor.Add("refreshTables", d.tables.RunRefresh)
	d.supervisor.Add("refreshWanted", d.desired.RunRefresh)
	d.supervisor.Add("refreshInstances", d.instances.RunRefresh)
	d.supervisor.Add("expireServers", lrsupervise.Every(expireInterval, func(_ context.Context, now time.Time) { d.servers.Expire(now) }))
}

// later returns a function that returns the entry with the higher version.
func later[T any, V cmp.Ordered](version func(entry T) V) func(known, listed T) T {
	return func(known, listed T) T {
		if version(known) > version(listed) {
			return known
		}
		return listed
	}
}

// rankDelay returns the rank delay of this instance.
func (d *Daemon) rankDelay() time.Duration {
	return rankDelay(d.sharer.Rank(d.clock()), d.sharer.PropagationDelay())
}

func (d *Daemon) wireSharer() {
	d.sharer = lrfleet.NewSharer(lrfleet.SharerDependencies{
		Self:      d.self(),
		Directory: d.directory, Balancer: d.balancer, Limiter: d.limiter, Quarantine: d.quarantine, Notices: d.notices, Responses: d.responses, KVStores: d.kvStoreWatch, Rollout: d.weights, Releases: d.releases, Pool: d.pool,
		Feeds: d.feeds(), Go: d.supervisor.Go, Clock: d.clock, Log: d.log,
	}, !d.settings.Instance.FirstStart)
	d.peers = grpc.NewServer(lrpeer.ServerOptions(insecure.NewCredentials(), func(method string, value any) {
		d.log.Error().Str("method", method).Str("panic", fmt.Sprint(value)).Msg("peers: call failed")
	})...)
	lrpeerpb.RegisterFleetServer(d.peers, d.sharer)
	d.supervisor.Add("share", lrsupervise.Every(shareInterval, d.sharer.Step))
	d.supervisor.Add("register", d.register)
}

func (d *Daemon) self() lrfleet.Instance {
	i := d.settings.Instance
	address := cmp.Or(i.PeerAdvertised, i.PeerAddress)
	return lrfleet.Instance{Name: i.Name, Zone: i.Zone, PeerAddress: address, Process: d.process, Strength: i.Strength}
}

func (d *Daemon) wirePipeline() {
	d.pipeline = lrpipeline.New(lrpipeline.Dependencies{
		Directory: d.directory, Balancer: d.balancer, Limiter: d.limiter, Admission: d.newAdmission(),
		RetryBudgets: newRetryBudgets(d.settings.Retries, d.sharer.Instances, d.metrics.retryDecided), UnreachableZones: d.sharer.UnreachableZones,
		Ejector: lrretry.NewEjector(lrretry.EjectorOptions{
			Failures: ejectFailures, Duration: ejectDuration, MaxDuration: maxEjectDuration, ProbeTimeout: ejectProbeTimeout,
		}),
		Responses: d.responses, Quarantine: d.quarantine, Releases: d.releases, Notices: d.notices, Stores: d.kvStoreWatch, Memory: d.clients.Memory(), Backend: d.ports.Backend, Instances: d.sharer.Instances, Observer: d.metrics, Log: d.log, Clock: d.clock,
		PauseClock: lrclock.BootTime, IsStopping: d.stopping.Load,
	})
	d.supervisor.Add("retainConnections", lrsupervise.Every(retainInterval, func(context.Context, time.Time) {
		addresses := map[string]bool{}
		for _, s := range d.directory.All() {
			addresses[s.Address] = true
		}
		d.ports.Connections.Retain(addresses)
	}))
}

const (
	// ejectFailures is the number of consecutive failures after which a backend server is ejected.
	ejectFailures     = 2
	ejectDuration     = 400 * time.Millisecond
	maxEjectDuration  = 3 * time.Second
	ejectProbeTimeout = time.Second
)

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// isReady reports whether the load balancer may send new connections to this instance.
func (d *Daemon) isReady() bool {
	return d.directory.Table() != nil && !d.draining.Load() && d.sharer.KnowsLevels(d.clock()) && d.knowsRollouts(d.clock())
}

// Run serves until the context ends, then drains: requests in progress may finish within the drain timeout.
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
	admin := d.clients.OperatorsServer(d.adminHandler())
	d.supervisor.Go("serveAdmin", func() { _ = admin.Serve(d.clients.OperatorsListener(l.admin)) })
	if l.metrics != nil {
		d.supervisor.Go("serveMetrics", func() { _ = admin.Serve(d.clients.OperatorsListener(l.metrics)) })
	}
	server := d.callerServer()
	callers := d.clients.CallersListener(l.callers)
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
	server := d.clients.CallersServer(d.closeWhileDraining(handler))
	// The limit of heads follows the configuration, which net/http cannot. The inspection of the connections keeps it.
	server.MaxHeaderBytes = lrclients.MostHeaderBytes
	track := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		d.idleCloser.ConnState(c, state)
	}
	return server
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
