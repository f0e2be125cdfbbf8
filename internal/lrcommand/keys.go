package lrcommand

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

func newKeysCommand(o *options) *cobra.Command {
	return newGroupCommand("keys", "Add, withdraw and list the keys of client accounts",
		newKeysAddCommand(o), newKeysWithdrawCommand(o), newGetCommand(o, "keys list", func(s *lrconfig.Snapshot) any { return s.Keys() }))
}

func newKeysAddCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "add ACCOUNT", Short: "Add a key and print it, this once", Args: cobra.ExactArgs(1),
		Example: "  lavenderrouter keys add parish-office",
		RunE: func(c *cobra.Command, args []string) error {
			key := lrkey.New()
			record := lrconfig.KeyRecord{ID: key.ID(), Account: args[0], Hash: key.Hash(), AddedAt: time.Now().UTC()}
			err := o.apply(c, 0, false, func(s *lrconfig.Snapshot) (lrstate.Change, error) {
				_, ok := s.Account(args[0])
				if !ok {
					return lrstate.Change{}, fmt.Errorf("there is no client account %q; add it to the list of accounts first", args[0])
				}
				return lrstate.KeyChange(s, "add key", record)
			})
			if err != nil {
				return err
			}
			o.printf("key: %s\n", key.Reveal())
			return nil
		},
	}
}

func newKeysWithdrawCommand(o *options) *cobra.Command {
	var confirmation confirmation
	command := &cobra.Command{
		Use: "withdraw KEY-ID", Short: "Withdraw a key and end the requests that run under it", Args: cobra.ExactArgs(1),
		Long: "Withdraw a key, end the requests that run under it, and wait until every instance has confirmed it. The command " +
			"fails while an instance has not; it can be repeated.",
		Example: "  lavenderrouter keys withdraw 0123456789abcdef",
	}
	command.Flags().DurationVar(&confirmation.wait, "wait", defaultConfirmWait, "how long to wait for the instances")
	command.Flags().BoolVar(&confirmation.acceptUnconfirmed, "accept-unconfirmed", false,
		"succeed although instances have not confirmed; such an instance may still accept the key")
	command.RunE = func(c *cobra.Command, args []string) error {
		err := o.apply(c, 0, false, func(s *lrconfig.Snapshot) (lrstate.Change, error) { return withdrawal(s, args[0]) })
		if err != nil {
			return err
		}
		_, snapshot, err := o.read(c.Context())
		if err != nil {
			return err
		}
		return o.awaitConfirmation(c.Context(), snapshot.Version(), confirmation)
	}
	return command
}

// withdrawal returns the change that withdraws the key. It is empty if the key has already been withdrawn.
func withdrawal(s *lrconfig.Snapshot, id string) (lrstate.Change, error) {
	record, ok := s.Key(id)
	if !ok {
		return lrstate.Change{}, fmt.Errorf("there is no key %q; look at keys list", id)
	}
	if !record.Withdrawn() {
		record = record.WithWithdrawal(time.Now().UTC())
	}
	return lrstate.KeyChange(s, "withdraw key", record)
}
