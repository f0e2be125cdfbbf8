// Package lrstub implements small stand-ins for the platform, engines, plain services and the KV store, each with a
// control path by which tests inject faults.
//
// Prompts are split into prefix blocks, the units that engines cache and that the KV store (an external store of
// key/value cache) keeps. An incarnation is one run of an engine between two restarts.
package lrstub

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

const headerTimeout = 5 * time.Second

// Execute runs the command line and returns the exit code.
func Execute(args []string, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "lavenderstub", Short: "Run a stand-in", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newKVStoreCommand())
	root.SetArgs(args)
	root.SetOut(output)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, "lavenderstub:", err)
		return 1
	}
	return 0
}

func newPlatformCommand() *cobra.Command {
	return newStubCommand("platform", "Run the platform's object API", func(*cobra.Command) func() http.Handler {
		return NewPlatform
	})
}

func newEngineCommand() *cobra.Command {
	return newStubCommand("engine", "Run an engine", func(c *cobra.Command) func() http.Handler {
		options := DefaultEngineOptions()
		c.Flags().StringVar(&options.Name, "name", options.Name, "name of the engine")
		c.Flags().StringToStringVar(&options.Versions, "models", options.Versions, "loaded models and their versions")
		c.Flags().IntVar(&options.CacheBlocks, "cache-pieces", options.CacheBlocks, "capacity of the cache in prefix blocks")
		c.Flags().DurationVar(&options.PrefillPerToken, "prefill-per-token", options.PrefillPerToken, "prefill time of a token")
		c.Flags().DurationVar(&options.DecodePerToken, "decode-per-token", options.DecodePerToken, "decode time of a token")
		c.Flags().DurationVar(&options.ImportPerToken, "import-per-token", options.ImportPerToken, "import time of a cached token")
		c.Flags().StringVar(&options.ExportTo, "export-to", options.ExportTo, "IP:port of the KV store to which computed prefix blocks are exported")
		c.Flags().BoolVar(&options.ChecksFencing, "checks-fencing", options.ChecksFencing, "refuse orders with an old fencing number")
		return func() http.Handler { return NewEngine(options) }
	})
}

func newServiceCommand() *cobra.Command {
	return newStubCommand("service", "Run a plain service", func(*cobra.Command) func() http.Handler {
		return NewService
	})
}

func newKVStoreCommand() *cobra.Command {
	return newStubCommand("kvstore", "Run a KV store", func(*cobra.Command) func() http.Handler {
		return NewKVStore
	})
}

func newStubCommand(name, short string, prepare func(*cobra.Command) func() http.Handler) *cobra.Command {
	var address string
	command := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs}
	command.Flags().StringVar(&address, "address", "127.0.0.1:0", "IP:port to listen on")
	newHandler := prepare(command)
	command.RunE = func(c *cobra.Command, _ []string) error {
		return serve(c.Context(), address, newHandler())
	}
	return command
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
