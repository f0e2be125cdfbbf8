package lrcommand

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclients"
	"github.com/lavenderrouter/lavenderrouter/internal/lredge"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlog"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
	"github.com/lavenderrouter/lavenderrouter/platform"
)

// envSettings is the environment variable with the path of the settings file of an edge instance.
const envSettings = "LAVENDERROUTER_CONFIG"

func newEdgeCommand() *cobra.Command {
	var path string
	var turnInterval time.Duration
	command := &cobra.Command{
		Use: "edge", Short: "Run one instance behind the platform's balancer", Args: cobra.NoArgs,
		Example: "  " + envSettings + "=/etc/lavenderrouter/settings.toml lavenderrouter edge",
	}
	command.Flags().StringVar(&path, "settings", os.Getenv(envSettings), "INI file with the settings (or "+envSettings+")")
	command.Flags().DurationVar(&turnInterval, "turn-interval", 0, "takes the place of [orders] turnInterval unless it is zero")
	command.RunE = func(c *cobra.Command, _ []string) error {
		// A reload signal that arrives before the start is complete must not end the process.
		signal.Ignore(syscall.SIGHUP)
		settings, err := readSettings(path)
		if err != nil {
			return err
		}
		if turnInterval > 0 {
			settings.Orders.TurnInterval = turnInterval
		}
		lrclients.LimitHeap(settings.Instance)
		level, err := parseLevel(settings.Log)
		if err != nil {
			return err
		}
		log, closeLog := lrlog.New(c.OutOrStdout(), level, settings.Log.LinesPerSecond, time.Now)
		defer closeLog()
		log = log.With().Str("instance", settings.Instance.Name).Logger()
		ports := platform.New(settings.Platform.URL, time.Now, log)
		daemon := lredge.New(settings, ports, time.Now, log)
		lrsupervise.Go(log, "noteReloads", func() { logReloads(daemon.Done(), path, settings, log) })
		return daemon.Run(c.Context())
	}
	return command
}

// logReloads logs at each reload signal whether the settings file has changed. Changes take effect at the next start.
func logReloads(done <-chan struct{}, path string, current lrsettings.Settings, log zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
		case <-done:
			return
		}
		reloaded, err := readSettings(path)
		if err != nil {
			log.Error().Err(err).Msg("edge: settings are unreadable, the old ones stay in force")
			continue
		}
		log.Info().Bool("changed", reloaded.Instance != current.Instance || reloaded.Platform != current.Platform).Msg("edge: reload")
	}
}
