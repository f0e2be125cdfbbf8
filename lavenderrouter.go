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

// A Router is one instance of the daemon.
type Router interface {
	// Run serves until the context ends, then stops without cutting a request.
	Run(ctx context.Context) error
	// StopNow makes a stop that is under way cut the requests that still run.
	StopNow()
	// Done is closed when Run has returned.
	Done() <-chan struct{}
}

// An Option changes a Router from its defaults.
type Option func(*options)

type options struct {
	settings lrsettings.Settings
	log      zerolog.Logger
}

// WithSettings makes the router use the settings.
func WithSettings(settings lrsettings.Settings) Option {
	return func(o *options) { o.settings = settings }
}

// WithLog makes the router write to the logger.
func WithLog(log zerolog.Logger) Option {
	return func(o *options) { o.log = log }
}

// New returns a Router. Without options it has the default settings and logs to the standard error stream.
func New(opts ...Option) Router {
	o := options{settings: lrsettings.Default(), log: zerolog.New(os.Stderr).With().Timestamp().Logger()}
	for _, apply := range opts {
		apply(&o)
	}
	return lrdaemon.New(o.settings, o.log)
}
