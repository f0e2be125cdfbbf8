// Package lrgateway is the HTTP handler for callers. It authenticates each request, checks what the caller may do, sends the
// request to a backend server and returns the answer.
//
// Every request passes a list of guards, each of which checks one condition. Completion requests for a model then pass the
// rate limit and the queue and run on an engine. Other requests are forwarded to the plain service of their route. A paid route
// is served by a PaidRunner, which runs each paid action at most once. An open route needs no key.
package lrgateway

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrmetric"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// A ConfigSource returns the active configuration.
type ConfigSource interface {
	Snapshot() *lrconfig.Snapshot
}

// A ServerSource returns the backend servers of a plain service that accept new requests, in order of preference.
type ServerSource interface {
	Services(service string) []lrplatform.Instance
}

// A VersionSource returns the weights version at which requests for a model are served.
type VersionSource interface {
	ServedVersion(model string) string
}

// Dependencies are the collaborators of a Gateway.
type Dependencies struct {
	Config ConfigSource
	// Freshness checks that the configuration is recent enough to accept keys. Without it, keys are always accepted.
	Freshness FreshnessChecker
	Limiter   lrlimit.Limiter
	Queue     lrqueue.Queue
	Runner    *lrstream.Runner
	Servers   ServerSource
	// Versions returns the weights version of each model. Without it, the version of the configuration is used.
	Versions VersionSource
	Services lrservice.Client
	// Paid runs paid actions. Without it, paid routes are refused.
	Paid     PaidRunner
	Recorder *lrexplain.Recorder
	Metrics  *lrmetric.Metrics
	// Budget limits the retries of this instance. Ejector excludes failing backend servers for a time. New replaces nil by
	// a default.
	Budget  *lrretry.Budget
	Ejector *lrretry.Ejector
	Log     zerolog.Logger
	// Clock returns the present time.
	Clock func() time.Time
}

// Options limit what callers may use.
type Options struct {
	MaxBodyBytes  int64
	BodyTimeout   time.Duration
	StreamTimeout time.Duration
	// WriteTimeout is the time in which a caller must read one event of a stream or a complete answer.
	WriteTimeout time.Duration
	// MaxConnectionsPerAccount limits the concurrent requests of one client account on this instance. 0 means no limit.
	MaxConnectionsPerAccount int
	// Memory is the budget for request bodies. Nil means no bound.
	Memory *lrmemory.Budget
}

// A Gateway is the HTTP handler for callers.
type Gateway struct {
	Dependencies
	options     Options
	guards      []Guard
	activeCalls *activeCalls
	router      *mux.Router
	// isStopping is set when new requests might not end before the instance does.
	isStopping atomic.Bool
}

// New returns a Gateway with the default guards.
func New(dependencies Dependencies, options Options) *Gateway {
	if dependencies.Budget == nil {
		dependencies.Budget = lrretry.DefaultBudget()
	}
	if dependencies.Ejector == nil {
		dependencies.Ejector = lrretry.DefaultEjector()
	}
	if options.Memory == nil {
		options.Memory = lrmemory.NewBudget(math.MaxInt)
	}
	g := &Gateway{Dependencies: dependencies, options: options, guards: DefaultGuards(options), activeCalls: newActiveCalls(), router: mux.NewRouter()}
	g.guards = withFreshness(g.guards, dependencies.Freshness)
	g.router.UseEncodedPath()
	g.router.SkipClean(true)
	g.router.HandleFunc(chatPath, g.serve(g.generate)).Methods(http.MethodPost)
	g.router.HandleFunc(completionsPath, g.serve(g.generate)).Methods(http.MethodPost)
	g.router.HandleFunc(modelsPath, g.serve(g.listModels)).Methods(http.MethodGet)
	g.router.PathPrefix("/").HandlerFunc(g.serve(g.forward))
	return g
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.router.ServeHTTP(w, r)
}

// Apply cancels the running requests that the snapshot no longer allows.
func (g *Gateway) Apply(snapshot *lrconfig.Snapshot) {
	g.Metrics.ConfigVersion.Set(float64(snapshot.Version()))
	g.activeCalls.cancelDisallowed(snapshot)
}

// StopAccepting makes the gateway refuse requests that it has not passed on yet, since they might not end before the instance does.
func (g *Gateway) StopAccepting() { g.isStopping.Store(true) }

// CancelAll cancels every running request with an error that states the reason.
func (g *Gateway) CancelAll(reason string) {
	g.activeCalls.cancelAll(lrerror.New(lrerror.KindUnavailable, lrerror.Unknown, "%s; retry on another instance", reason))
}

// ActiveCalls returns the number of active calls.
func (g *Gateway) ActiveCalls() int { return g.activeCalls.len() }
