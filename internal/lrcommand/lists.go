package lrcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// changeBuilder returns the change that turns the snapshot into one with the list.
type changeBuilder func(*lrconfig.Snapshot, lrconfig.List) (lrstate.Change, error)

func newPlansCommand(o *options) *cobra.Command {
	return newGroupCommand("plans", "Read and change what each plan may use",
		newApplyCommand(o, "plans", lrstate.PlanChange), newGetCommand(o, "plans get", func(s *lrconfig.Snapshot) any {
			return struct {
				Version uint64           `json:"version"`
				Plans   []lrconfig.Plan  `json:"plans"`
				Catalog lrconfig.Catalog `json:"catalog"`
			}{s.Version(), s.Plans(), s.Catalog()}
		}))
}

func newAccountsCommand(o *options) *cobra.Command {
	return newGroupCommand("accounts", "Read and change the client accounts and their plans",
		newApplyCommand(o, "accounts", lrstate.AccountChange), newGetCommand(o, "accounts get", func(s *lrconfig.Snapshot) any {
			return struct {
				Version  uint64             `json:"version"`
				Accounts []lrconfig.Account `json:"accounts"`
			}{s.Version(), s.Accounts()}
		}))
}

func newApplyCommand(o *options, noun string, buildChange changeBuilder) *cobra.Command {
	var dryRun bool
	var base uint64
	command := &cobra.Command{
		Use: "apply FILE", Short: "Make the list in the file the one in force", Args: cobra.ExactArgs(1),
		Example: fmt.Sprintf("  lavenderrouter %s apply %s.ini --dry-run", noun, noun),
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show the difference and change nothing")
	command.Flags().Uint64Var(&base, "base", 0, "refuse unless this version is the one in force")
	command.RunE = func(c *cobra.Command, args []string) error {
		list, err := readList(args[0])
		if err != nil {
			return err
		}
		return o.apply(c, base, dryRun, func(s *lrconfig.Snapshot) (lrstate.Change, error) { return buildChange(s, list) })
	}
	return command
}

// apply changes the active configuration and prints the difference.
func (o *options) apply(c *cobra.Command, base uint64, dryRun bool, buildChange func(*lrconfig.Snapshot) (lrstate.Change, error)) error {
	publisher, snapshot, err := o.read(c.Context())
	if err != nil {
		return err
	}
	if base > snapshot.Version() {
		return fmt.Errorf("version %d is in force, not %d; look at the audit trail, then apply again with --base %d",
			snapshot.Version(), base, snapshot.Version())
	}
	if base != 0 && base < snapshot.Version() {
		return publisher.Conflict(c.Context(), base)
	}
	change, err := buildChange(snapshot)
	if err != nil {
		return err
	}
	for _, a := range change.Audit {
		o.printf("%s\n  - %s\n  + %s\n", a.Item, orNothing(a.Before), orNothing(a.After))
	}
	if change.Empty() || dryRun {
		o.printf("nothing was changed; version %d is in force\n", snapshot.Version())
		return nil
	}
	change.Who = o.who
	head, err := publisher.Apply(c.Context(), time.Now(), snapshot, change)
	if err != nil {
		return err
	}
	o.printf("version %d is accepted\n", head.Version)
	return nil
}

// newGetCommand returns the command that prints a view of the active configuration. The path consists of its noun and verb.
func newGetCommand(o *options, path string, view func(*lrconfig.Snapshot) any) *cobra.Command {
	_, verb, _ := strings.Cut(path, " ")
	return &cobra.Command{
		Use: verb, Short: "Print the list in force", Args: cobra.NoArgs,
		Example: "  lavenderrouter " + path,
		RunE: func(c *cobra.Command, _ []string) error {
			_, snapshot, err := o.read(c.Context())
			if err != nil {
				return err
			}
			return o.printJSON(view(snapshot))
		},
	}
}

// read returns the active configuration and a publisher that can change it.
func (o *options) read(ctx context.Context) (*lrstate.Publisher, *lrconfig.Snapshot, error) {
	publisher, err := o.publisher()
	if err != nil {
		return nil, nil, err
	}
	snapshot, err := publisher.Read(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("read the configuration from the platform: %w", err)
	}
	return publisher, snapshot, nil
}

func (o *options) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	o.printf("%s\n", data)
	return nil
}

func orNothing(text string) string {
	if text == "" {
		return "(nothing)"
	}
	return text
}
