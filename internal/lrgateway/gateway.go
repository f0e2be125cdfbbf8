// Package lrgateway serves callers: it checks who they are, what they may do, and leads each request to a backend
// server and its answer back.
package lrgateway

import (
	"net/http"
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
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// A ConfigSource gives the configuration in force.
type ConfigSource interface {
	Snapshot() *lrconfig.Snapshot
}

// A ServerSource gives the backend servers of a plain service that take new work, the preferred one first.
type ServerSource interface {
	Services(service string) []lrplatform.Instance
}

// A VersionSource tells at which weights version requests for a model are sent.
type VersionSource interface {
	ServedVersion(model string) string
}

// Parts are what a Gateway works with.
type Parts struct {
	Config ConfigSource
	// Freshness refuses keys while the configuration may be out of date. Keys are always accepted while it is nil.
	Freshness Freshness
	Limiter   lrlimit.Limiter
	Queue     lrqueue.Queue
	Runner    *lrstream.Runner
	Servers   ServerSource
	// Versions chooses the weights version of each model. Without it, the configuration does.
	Versions VersionSource
	Services lrservice.Client
	// Paid runs non-idempotent requests. Paid routes are refused while it is nil.
	Paid     PaidRunner
	Recorder *lrexplain.Recorder
	Metrics  *lrmetric.Metrics
	// Budget bounds the retries of this instance and Ejector takes failing backend servers out of use. Defaults are
	// made while they are nil.
	Budget  *lrretry.Budget
	Ejector *lrretry.Ejector
	Log     zerolog.Logger
	// Clock returns the present time.
	Clock func() time.Time
}

// Options bound what callers may do.
type Options struct {
	MaxBodyBytes  int64
	BodyTimeout   time.Duration
	StreamTimeout time.Duration
	// WriteTimeout is the longest that a caller may take for one event of a stream or for a whole answer.
	WriteTimeout time.Duration
	// MaxConnectionsPerAccount bounds the requests that one client account may have open on this instance.
	MaxConnectionsPerAccount int
}

// A Gateway is the HTTP handler for callers.
type Gateway struct {
	Parts
	options  Options
	guards   []Guard
	sessions *sessions
	router   *mux.Router
}

// New returns a Gateway with the default guards.
func New(parts Parts, options Options) *Gateway {
	if parts.Budget == nil {
		parts.Budget = lrretry.DefaultBudget()
	}
	if parts.Ejector == nil {
		parts.Ejector = lrretry.DefaultEjector()
	}
	g := &Gateway{Parts: parts, options: options, guards: DefaultGuards(options), sessions: newSessions(), router: mux.NewRouter()}
	g.guards = withFreshness(g.guards, parts.Freshness)
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

// Apply ends the running requests of keys and accounts that the snapshot does not allow any more.
func (g *Gateway) Apply(snapshot *lrconfig.Snapshot) {
	g.Metrics.ConfigVersion.Set(float64(snapshot.Version()))
	g.sessions.endDisallowed(snapshot)
}

// EndAll ends every running request with an explicit error that names the reason.
func (g *Gateway) EndAll(reason string) {
	g.sessions.endAll(lrerror.New(lrerror.KindUnavailable, lrerror.Unknown, "%s; retry on another instance", reason))
}

// Running returns the number of requests being served.
func (g *Gateway) Running() int { return g.sessions.len() }
