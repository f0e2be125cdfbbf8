// Package lavenderrouter routes language-model traffic with long shared prompts from callers to backend servers.
package lavenderrouter

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrdaemon"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// Version is the version of the program.
const Version = "0.1.0"

// A Router is one instance of the router.
type Router interface {
	// Run serves until the context ends, then shuts down gracefully: requests in progress may finish.
	Run(ctx context.Context) error
	// StopNow makes a shutdown in progress abort the requests that are still running.
	StopNow()
	// Done is closed when Run has returned.
	Done() <-chan struct{}
}

// An Option overrides a default of a Router.
type Option func(*options)

type options struct {
	settings lrsettings.Settings
	log      zerolog.Logger
}

// WithSettings sets the settings of the router.
func WithSettings(settings lrsettings.Settings) Option {
	return func(o *options) { o.settings = settings }
}

// WithLog sets the logger of the router.
func WithLog(log zerolog.Logger) Option {
	return func(o *options) { o.log = log }
}

// New returns a Router. By default it uses the default settings and logs to the standard error stream.
func New(opts ...Option) Router {
	o := options{settings: lrsettings.Default(), log: zerolog.New(os.Stderr).With().Timestamp().Logger()}
	for _, apply := range opts {
		apply(&o)
	}
	return lrdaemon.New(o.settings, o.log)
}
