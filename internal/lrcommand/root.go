// Package lrcommand implements the command line of lavenderrouter: the commands that run an instance, and those with which operators
// inspect and change the configuration that instances read from the platform.
package lrcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter"
	"github.com/lavenderrouter/lavenderrouter/internal/lrdaemon"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
)

const (
	exitOK      = 0
	exitFailure = 1
	// exitAborted is the exit code of serve if a planned stop has aborted requests.
	exitAborted = 3
	// envPlatform is the environment variable with the URL of the platform.
	envPlatform = "LAVENDERROUTER_PLATFORM"
)

// options are the global flags and the output that all operator commands share.
type options struct {
	platformURL string
	who         string
	output      io.Writer
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, output, errors io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand(output)
	root.SetArgs(args)
	root.SetOut(output)
	root.SetErr(errors)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errors, "lavenderrouter:", err)
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	if lrdaemon.ErrAborted.Has(err) {
		return exitAborted
	}
	return exitFailure
}

func newRootCommand(output io.Writer) *cobra.Command {
	o := &options{output: output}
	root := &cobra.Command{
		Use: "lavenderrouter", Short: "Route language-model traffic with long shared prompts",
		Version: lavenderrouter.Version, SilenceUsage: true, SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.platformURL, "platform", os.Getenv(envPlatform), "URL of the platform's object API (or "+envPlatform+")")
	flags.StringVar(&o.who, "who", currentUser(), "name that stands in the audit trail")
	root.AddCommand(newServeCommand(), newEdgeCommand(), newCheckCommand(o), newPlansCommand(o), newAccountsCommand(o), newKeysCommand(o),
		newStatusCommand(o), newAuditCommand(o), newExplainCommand(o), newPaidCommand(o))
	return root
}

// newGroupCommand returns a command that only groups subcommands. It rejects unknown subcommands.
func newGroupCommand(use, short string, commands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	group.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	group.AddCommand(commands...)
	return group
}

func (o *options) platform() (lrplatform.Platform, error) {
	if o.platformURL == "" {
		return nil, fmt.Errorf("the platform's URL is not known; give --platform or set %s", envPlatform)
	}
	return lrplatform.NewClient(o.platformURL), nil
}

func (o *options) publisher() (*lrstate.Publisher, error) {
	platform, err := o.platform()
	if err != nil {
		return nil, err
	}
	return lrstate.NewPublisher(platform), nil
}

func (o *options) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.output, format, args...)
}

func currentUser() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
