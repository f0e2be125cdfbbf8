package lrconfig

import (
	"maps"
	"slices"
)

// A Snapshot is one version of the whole configuration in memory.
type Snapshot struct {
	head   Head
	shards map[string]Shard
}

// NewSnapshot returns the snapshot of the head with the shards by name.
func NewSnapshot(head Head, shards map[string]Shard) *Snapshot {
	return &Snapshot{head: head, shards: maps.Clone(shards)}
}

// Head returns the head of the snapshot.
func (s *Snapshot) Head() Head { return s.head }

// Version returns the version of the snapshot. Zero means that no configuration has been read yet.
func (s *Snapshot) Version() uint64 { return s.head.Version }

// Shard returns the shard of the name. A shard that does not exist is empty.
func (s *Snapshot) Shard(name string) Shard { return s.shards[name] }

// WithShards returns the snapshot of a new head with the given shards replaced.
func (s *Snapshot) WithShards(head Head, changed map[string]Shard) *Snapshot {
	shards := maps.Clone(s.shards)
	if shards == nil {
		shards = make(map[string]Shard, len(changed))
	}
	maps.Copy(shards, changed)
	return &Snapshot{head: head, shards: shards}
}

// Plan returns the plan of the name and reports whether there is one.
func (s *Snapshot) Plan(name string) (Plan, bool) {
	plan, ok := s.shards[ShardPlans].Plans[name]
	return plan, ok
}

// Catalog returns the models and routes.
func (s *Snapshot) Catalog() Catalog { return s.shards[ShardCatalog].Catalog }

// Account returns the client account of the name and reports whether there is one.
func (s *Snapshot) Account(name string) (Account, bool) {
	account, ok := s.shards[AccountShard(name)].Accounts[name]
	return account, ok
}

// Key returns the record of the key and reports whether there is one.
func (s *Snapshot) Key(id string) (KeyRecord, bool) {
	record, ok := s.shards[KeyShard(id)].Keys[id]
	return record, ok
}

// Plans returns all plans, ordered by name.
func (s *Snapshot) Plans() []Plan {
	return sortedValues(s.shards[ShardPlans].Plans)
}

// Accounts returns all client accounts, ordered by name.
func (s *Snapshot) Accounts() []Account {
	return collect(s, func(shard Shard) map[string]Account { return shard.Accounts })
}

// Keys returns the records of all keys, ordered by identifier.
func (s *Snapshot) Keys() []KeyRecord {
	return collect(s, func(shard Shard) map[string]KeyRecord { return shard.Keys })
}

func collect[V any](s *Snapshot, field func(Shard) map[string]V) []V {
	collected := map[string]V{}
	for _, shard := range s.shards {
		maps.Copy(collected, field(shard))
	}
	return sortedValues(collected)
}

func sortedValues[V any](values map[string]V) []V {
	sorted := make([]V, 0, len(values))
	for _, k := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[k])
	}
	return sorted
}
