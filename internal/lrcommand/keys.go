package lrcommand

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

func newKeysCommand(o *operator) *cobra.Command {
	return newGroupCommand("keys", "Add, withdraw and list the keys of client accounts",
		newKeysAddCommand(o), newKeysWithdrawCommand(o), newGetCommand(o, "keys list", func(s *lrconfig.Snapshot) any { return s.Keys() }))
}

func newKeysAddCommand(o *operator) *cobra.Command {
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

func newKeysWithdrawCommand(o *operator) *cobra.Command {
	return &cobra.Command{
		Use: "withdraw KEY-ID", Short: "Withdraw a key and end the requests that run under it", Args: cobra.ExactArgs(1),
		Example: "  lavenderrouter keys withdraw 0123456789abcdef",
		RunE: func(c *cobra.Command, args []string) error {
			return o.apply(c, 0, false, func(s *lrconfig.Snapshot) (lrstate.Change, error) {
				record, ok := s.Key(args[0])
				if !ok {
					return lrstate.Change{}, fmt.Errorf("there is no key %q; look at keys list", args[0])
				}
				return lrstate.KeyChange(s, "withdraw key", record.WithWithdrawal(time.Now().UTC()))
			})
		},
	}
}
