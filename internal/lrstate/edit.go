package lrstate

import (
	"encoding/json"
	"errors"
	"maps"
	"reflect"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// PlanChange returns the change that replaces the plans and the catalog by those of the list.
func PlanChange(base *lrconfig.Snapshot, list lrconfig.List) (Change, error) {
	change := Change{What: "apply plans", Shards: map[string]lrconfig.Shard{}}
	before := base.Shard(lrconfig.ShardPlans).Plans
	change.Audit = difference("plan ", before, list.Plans)
	change.Shards[lrconfig.ShardPlans] = lrconfig.Shard{Plans: list.Plans}
	if !reflect.DeepEqual(base.Catalog(), list.Catalog) {
		change.Audit = append(change.Audit, AuditChange{Item: "catalog", Before: encode(base.Catalog()), After: encode(list.Catalog)})
		change.Shards[lrconfig.ShardCatalog] = lrconfig.Shard{Catalog: list.Catalog}
	}
	return change, validate(base, change)
}

// AccountChange returns the change that replaces the client accounts by those of the list.
func AccountChange(base *lrconfig.Snapshot, list lrconfig.List) (Change, error) {
	change := Change{What: "apply accounts", Shards: map[string]lrconfig.Shard{}}
	before := map[string]lrconfig.Account{}
	for _, a := range base.Accounts() {
		before[a.Name] = a
	}
	change.Audit = difference("account ", before, list.Accounts)
	for name := range before {
		if before[name] != list.Accounts[name] {
			change.Shards[lrconfig.AccountShard(name)] = lrconfig.Shard{Accounts: map[string]lrconfig.Account{}}
		}
	}
	for name, account := range list.Accounts {
		if before[name] != account {
			change.Shards[lrconfig.AccountShard(name)] = lrconfig.Shard{Accounts: map[string]lrconfig.Account{}}
		}
	}
	for name, account := range list.Accounts {
		shard, ok := change.Shards[lrconfig.AccountShard(name)]
		if ok {
			shard.Accounts[name] = account
		}
	}
	return change, validate(base, change)
}

// KeyChange returns the change that adds or replaces the record of a key.
func KeyChange(base *lrconfig.Snapshot, what string, record lrconfig.KeyRecord) (Change, error) {
	name := lrconfig.KeyShard(record.ID)
	keys := maps.Clone(base.Shard(name).Keys)
	if keys == nil {
		keys = map[string]lrconfig.KeyRecord{}
	}
	before := map[string]lrconfig.KeyRecord{}
	old, ok := keys[record.ID]
	if ok {
		before[record.ID] = old
	}
	keys[record.ID] = record
	change := Change{What: what, Shards: map[string]lrconfig.Shard{name: {Keys: keys}}}
	change.Audit = difference("key ", before, map[string]lrconfig.KeyRecord{record.ID: record})
	return change, validate(base, change)
}

// Empty reports whether the change alters nothing.
func (c Change) Empty() bool { return len(c.Audit) == 0 }

func validate(base *lrconfig.Snapshot, change Change) error {
	return errors.Join(lrconfig.Validate(base.WithShards(base.Head(), change.Shards))...)
}

func difference[V any](prefix string, before, after map[string]V) []AuditChange {
	var changes []AuditChange
	names := maps.Clone(before)
	if names == nil {
		names = map[string]V{}
	}
	maps.Copy(names, after)
	for _, name := range sortedKeys(names) {
		change := AuditChange{Item: prefix + name}
		old, ok := before[name]
		if ok {
			change.Before = encode(old)
		}
		updated, ok := after[name]
		if ok {
			change.After = encode(updated)
		}
		if change.Before != change.After {
			changes = append(changes, change)
		}
	}
	return changes
}

func encode(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(data)
}
