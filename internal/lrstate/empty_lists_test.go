package lrstate

import (
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// TestLastEntriesAreTakenAway guards against a list that is valid but empty and leaves the last routes, models, plans or accounts in force: it
// has to read as empty on the instances, in the form in which it is stored.
func TestLastEntriesAreTakenAway(t *testing.T) {
	base := lrconfig.NewSnapshot(lrconfig.Head{Version: 1}, map[string]lrconfig.Shard{
		lrconfig.ShardPlans: {Plans: map[string]lrconfig.Plan{"p": {Name: "p", Models: []string{"m"}, Rate: 1, Burst: 1}}},
		lrconfig.ShardCatalog: {Catalog: lrconfig.Catalog{
			Models: []lrconfig.Model{{Name: "m", Version: "v1"}}, Routes: []lrconfig.Route{{Name: "r", Path: "/r", Service: "s"}},
		}},
		lrconfig.AccountShard("a"): {Accounts: map[string]lrconfig.Account{"a": {Name: "a", Plan: "p"}}},
	})
	empty, mistakes := lrconfig.ParseList("empty.ini", nil)
	if len(mistakes) > 0 {
		t.Fatal(mistakes)
	}
	withoutAccounts := applied(t, base, empty, AccountChange)
	if got := len(withoutAccounts.Accounts()); got != 0 {
		t.Errorf("%d accounts are left", got)
	}
	withoutPlans := applied(t, withoutAccounts, empty, PlanChange)
	catalog := withoutPlans.Catalog()
	if len(withoutPlans.Plans())+len(catalog.Models)+len(catalog.Routes) != 0 {
		t.Errorf("left are %v and %v", withoutPlans.Plans(), catalog)
	}
}

// applied returns the snapshot after the list was applied, stored and read again.
func applied(t *testing.T, base *lrconfig.Snapshot, list lrconfig.List, build func(*lrconfig.Snapshot, lrconfig.List) (Change, error)) *lrconfig.Snapshot {
	t.Helper()
	change, err := build(base, list)
	if err != nil || change.Empty() {
		t.Fatalf("error %v, nothing changed %t", err, change.Empty())
	}
	read := map[string]lrconfig.Shard{}
	for name, shard := range change.Shards {
		data, digest, err := shard.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read[name], err = lrconfig.DecodeShard(data, digest)
		if err != nil {
			t.Fatal(err)
		}
	}
	return base.WithShards(base.Head(), read)
}
