package lrcommand

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

func newCheckCommand(o *options) *cobra.Command {
	var settings, plans, accounts string
	command := &cobra.Command{
		Use: "check", Short: "Check settings and lists, and report every mistake", Args: cobra.NoArgs,
		Example: "  lavenderrouter check --settings instance.ini --plans plans.ini --accounts accounts.ini",
	}
	command.Flags().StringVar(&settings, "settings", "", "INI file with the settings of an instance")
	command.Flags().StringVar(&plans, "plans", "", "INI file with plans, models and routes")
	command.Flags().StringVar(&accounts, "accounts", "", "INI file with client accounts")
	command.RunE = func(*cobra.Command, []string) error {
		var mistakes []error
		if settings != "" {
			_, err := readSettings(settings)
			mistakes = append(mistakes, err)
		}
		mistakes = append(mistakes, checkLists(plans, accounts)...)
		err := errors.Join(mistakes...)
		if err == nil {
			o.printf("check: ok\n")
		}
		return err
	}
	return command
}

// checkLists validates each list, and both against each other if all are given and valid.
func checkLists(plansPath, accountsPath string) []error {
	var plans, accounts lrconfig.List
	var mistakes []error
	var err error
	if plansPath != "" {
		plans, err = readList(plansPath)
		mistakes = append(mistakes, err)
	}
	if accountsPath != "" {
		accounts, err = readList(accountsPath)
		mistakes = append(mistakes, err)
	}
	if plansPath == "" || errors.Join(mistakes...) != nil {
		return mistakes
	}
	shards := map[string]lrconfig.Shard{
		lrconfig.ShardPlans:   {Plans: plans.Plans},
		lrconfig.ShardCatalog: {Catalog: plans.Catalog},
		"accounts":            {Accounts: accounts.Accounts},
	}
	return append(mistakes, lrconfig.Validate(lrconfig.NewSnapshot(lrconfig.Head{}, shards))...)
}

func readList(path string) (lrconfig.List, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return lrconfig.List{}, fmt.Errorf("read list: %w", err)
	}
	list, mistakes := lrconfig.ParseList(path, data)
	return list, errors.Join(mistakes...)
}
