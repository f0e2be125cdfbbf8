package lrcommand

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter"
	"github.com/lavenderrouter/lavenderrouter/internal/lrclients"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

func newServeCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "serve", Short: "Run one instance", Args: cobra.NoArgs,
		Example: "  lavenderrouter serve --settings /etc/lavenderrouter/instance.ini",
	}
	command.Flags().StringVar(&path, "settings", "", "INI file with the settings of the instance")
	_ = command.MarkFlagRequired("settings")
	command.RunE = func(c *cobra.Command, _ []string) error {
		settings, err := readSettings(path)
		if err != nil {
			return err
		}
		lrclients.LimitHeap(settings.Instance)
		log, err := newLogger(settings.Log, c.ErrOrStderr())
		if err != nil {
			return err
		}
		log = log.With().Str("instance", settings.Instance.Name).Logger()
		router := lavenderrouter.New(lavenderrouter.WithSettings(settings), lavenderrouter.WithLog(log))
		lrsupervise.Go(log, "hurryAtSecondSignal", func() { abortAtSecondSignal(router) })
		return router.Run(c.Context())
	}
	return command
}

// abortAtSecondSignal makes the router abort the requests in progress when a second stop signal arrives.
func abortAtSecondSignal(router lavenderrouter.Router) {
	const signalsToAbort = 2
	signals := make(chan os.Signal, signalsToAbort)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	for range signalsToAbort {
		select {
		case <-signals:
		case <-router.Done():
			return
		}
	}
	router.StopNow()
}

func readSettings(path string) (lrsettings.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return lrsettings.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, mistakes := lrsettings.Parse(path, data)
	return settings, errors.Join(mistakes...)
}

func parseLevel(settings lrsettings.Log) (zerolog.Level, error) {
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		return level, fmt.Errorf("[log] level: use debug, info, warn or error: %w", err)
	}
	return level, nil
}

func newLogger(settings lrsettings.Log, output io.Writer) (zerolog.Logger, error) {
	level, err := parseLevel(settings)
	if err != nil {
		return zerolog.Nop(), err
	}
	if settings.Format == "console" {
		output = zerolog.ConsoleWriter{Out: output, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(output).Level(level).With().Timestamp().Logger(), nil
}
