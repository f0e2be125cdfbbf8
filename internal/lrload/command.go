// Package lrload sends an open-loop load with nested prompt prefixes to instances and reports how it was served.
//
// In an open-loop load the arrival times don't depend on the answers. The prompts consist of prefix blocks, the units
// that engines cache.
package lrload

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

const (
	defaultRate      = 20
	defaultMaxTokens = 32
	defaultDuration  = 10 * time.Second
	defaultTimeout   = time.Minute
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newCommand()
	root.SetArgs(args)
	root.SetOut(output)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, "lavenderload:", err)
		return 1
	}
	return 0
}

func newCommand() *cobra.Command {
	var keyFile string
	options := Options{Shape: DefaultShape(), MaxTokens: defaultMaxTokens}
	command := &cobra.Command{
		Use: "lavenderload", Short: "Send an open load and report how it was served", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		Example: "  lavenderload --targets 127.0.0.1:8080,127.0.0.1:8090 --keys keys.txt --model award-review --rate 50",
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Targets, "targets", nil, "addresses of the instances, as IP:port")
	flags.StringVar(&keyFile, "keys", "", "file with a line \"ACCOUNT KEY RATE BURST\" for each client account")
	flags.StringVar(&options.Model, "model", "", "name of the model")
	flags.Float64Var(&options.Rate, "rate", defaultRate, "requests a second over all client accounts")
	flags.DurationVar(&options.Duration, "duration", defaultDuration, "how long requests are sent")
	flags.DurationVar(&options.Timeout, "timeout", defaultTimeout, "how long an answer may take")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the request sequence")
	flags.IntVar(&options.MaxTokens, "max-tokens", options.MaxTokens, "tokens that each request asks for")
	flags.IntVar(&options.Shape.RulesBlocks, "rules-pieces", options.Shape.RulesBlocks, "prefix blocks of the first prompt level")
	flags.IntVar(&options.Shape.CustomerBlocks, "customer-pieces", options.Shape.CustomerBlocks, "prefix blocks of the second prompt level")
	flags.IntVar(&options.Shape.CaseBlocks, "case-pieces", options.Shape.CaseBlocks, "prefix blocks of the third prompt level")
	for _, name := range []string{"targets", "keys", "model"} {
		_ = command.MarkFlagRequired(name)
	}
	command.RunE = func(c *cobra.Command, _ []string) error {
		accounts, err := readAccounts(keyFile)
		if err != nil {
			return err
		}
		options.Accounts = accounts
		report := Run(c.Context(), options)
		_, err = io.WriteString(c.OutOrStdout(), report.Summary().String())
		return err
	}
	return command
}
