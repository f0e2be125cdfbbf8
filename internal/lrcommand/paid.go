package lrcommand

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/internal/lrledger"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

func newPaidCommand(o *options) *cobra.Command {
	return newGroupCommand("paid", "List paid actions whose outcome is in doubt, and settle them",
		newPaidListCommand(o), newPaidResolveCommand(o), newPaidAuditCommand(o))
}

func newPaidListCommand(o *options) *cobra.Command {
	var account, format string
	var all bool
	command := &cobra.Command{
		Use: "list", Short: "Show the actions that were sent and have no answer", Args: cobra.NoArgs,
		Example: "  lavenderrouter paid list --account north-school",
	}
	command.Flags().StringVar(&account, "account", "", "only the actions of this client account")
	command.Flags().BoolVar(&all, "all", false, "also the actions whose outcome is known")
	command.Flags().StringVarP(&format, "output", "o", "table", "table or json")
	command.RunE = func(c *cobra.Command, _ []string) error {
		ledger, err := o.ledger()
		if err != nil {
			return err
		}
		records, err := ledger.Records(c.Context(), account)
		if err != nil {
			return err
		}
		shown := make([]lrpaid.Record, 0, len(records))
		for _, r := range records {
			if all || r.State == lrpaid.StateDispatched {
				shown = append(shown, r)
			}
		}
		if format == "json" {
			return o.printJSON(shown)
		}
		return o.printPaid(time.Now(), shown)
	}
	return command
}

func (o *options) printPaid(now time.Time, records []lrpaid.Record) error {
	table := tabwriter.NewWriter(o.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KEY\tACCOUNT\tROUTE\tSTATE\tINSTANCE\tREQUEST\tSINCE")
	for _, r := range records {
		state, since := string(r.State), r.DispatchedAt
		if r.InDoubt(now) {
			state = "in doubt"
		}
		if since.IsZero() {
			since = r.ClaimedAt
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.IdempotencyKey, r.Account, r.Route, state, r.Owner,
			r.RequestID, since.Format(time.RFC3339))
	}
	return table.Flush()
}

func newPaidResolveCommand(o *options) *cobra.Command {
	var account, outcome, reason string
	command := &cobra.Command{
		Use: "resolve KEY", Short: "Record what has become of an action in doubt", Args: cobra.ExactArgs(1),
		Example: "  lavenderrouter paid resolve award-4711 --account north-school --outcome done --reason 'seen in the bank statement'",
	}
	command.Flags().StringVar(&account, "account", "", "client account of the action; needed when several have the same key in doubt")
	command.Flags().StringVar(&outcome, "outcome", "", "done or notRun, as found out at the service")
	command.Flags().StringVar(&reason, "reason", "", "how the outcome was found out, for the audit trail")
	command.RunE = func(c *cobra.Command, args []string) error {
		resolution := lrpaid.Resolution{
			Outcome: lrpaid.ResolvedOutcome(outcome), Reason: reason, Who: o.who, When: time.Now().UTC(),
		}
		if resolution.Outcome != lrpaid.ResolvedDone && resolution.Outcome != lrpaid.ResolvedNotRun {
			return fmt.Errorf("--outcome must be %s or %s", lrpaid.ResolvedDone, lrpaid.ResolvedNotRun)
		}
		if reason == "" {
			return fmt.Errorf("--reason is missing; say how the outcome was found out")
		}
		ledger, err := o.ledger()
		if err != nil {
			return err
		}
		account, err := findPaidAccount(c.Context(), ledger, account, args[0])
		if err != nil {
			return err
		}
		record, err := ledger.Resolve(c.Context(), time.Now(), account, args[0], resolution)
		if err != nil {
			return err
		}
		o.printf("action %s of client account %s is resolved as %s\n", record.IdempotencyKey, record.Account, outcome)
		return nil
	}
	return command
}

// findPaidAccount returns the client account that has an action in doubt with the idempotency key.
func findPaidAccount(ctx context.Context, ledger *lrledger.RecordStore, account, key string) (string, error) {
	if account != "" {
		return account, nil
	}
	records, err := ledger.Records(ctx, "")
	if err != nil {
		return "", err
	}
	for _, r := range records {
		if r.IdempotencyKey != key || r.State != lrpaid.StateDispatched {
			continue
		}
		if account != "" {
			return "", fmt.Errorf("client accounts %s and %s both have %s in doubt; name one with --account", account, r.Account, key)
		}
		account = r.Account
	}
	if account == "" {
		return "", fmt.Errorf("no action %s is in doubt; look at paid list", key)
	}
	return account, nil
}

func newPaidAuditCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "audit", Short: "Show who has resolved which action", Args: cobra.NoArgs,
		Example: "  lavenderrouter paid audit",
		RunE: func(c *cobra.Command, _ []string) error {
			ledger, err := o.ledger()
			if err != nil {
				return err
			}
			entries, err := ledger.Audit(c.Context())
			if err != nil {
				return err
			}
			for _, e := range entries {
				o.printf("%s  %s  %s\n", e.When.Format(time.RFC3339), e.Who, e.What)
				for _, a := range e.Changes {
					o.printf("  %s\n    - %s\n    + %s\n", a.Item, a.Before, a.After)
				}
			}
			return nil
		},
	}
}

func (o *options) ledger() (*lrledger.RecordStore, error) {
	platform, err := o.platform()
	if err != nil {
		return nil, err
	}
	return lrledger.NewRecordStore(platform), nil
}
