package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

const (
	sampledChanges = 40
	megabyte       = 1 << 20
)

// largeConfiguration returns a change that adds the given number of client accounts, each with one key.
func largeConfiguration(accounts int) lrstate.Change {
	shards := map[string]lrconfig.Shard{lrconfig.ShardPlans: {Plans: map[string]lrconfig.Plan{"plan": {Name: "plan", Rate: 1, Burst: 1}}}}
	for n := range accounts {
		account := lrconfig.Account{Name: fmt.Sprintf("account-%05d", n), Plan: "plan"}
		name := lrconfig.AccountShard(account.Name)
		if shards[name].Accounts == nil {
			shards[name] = lrconfig.Shard{Accounts: map[string]lrconfig.Account{}}
		}
		shards[name].Accounts[account.Name] = account
		key := lrkey.New()
		record := lrconfig.KeyRecord{ID: key.ID(), Account: account.Name, Hash: key.Hash(), AddedAt: time.Unix(0, 0)}
		name = lrconfig.KeyShard(record.ID)
		if shards[name].Keys == nil {
			shards[name] = lrconfig.Shard{Keys: map[string]lrconfig.KeyRecord{}}
		}
		shards[name].Keys[record.ID] = record
	}
	return lrstate.Change{Who: "bench", What: "fill", Shards: shards}
}

// measureConfiguration measures memory, CPU time and bytes of one change with all client accounts of a large fleet.
func measureConfiguration(ctx context.Context) ([]figure, error) {
	memory := lrplatform.NewMemory()
	publisher, source := lrstate.NewPublisher(memory), lrstate.NewPlatformSource(memory)
	base, err := publisher.Read(ctx)
	if err != nil {
		return nil, err
	}
	_, err = publisher.Apply(ctx, time.Unix(0, 0), base, largeConfiguration(fleetAccounts))
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	follower := lrstate.NewFollower(zerolog.Nop(), func(string) {})
	err = follower.Update(ctx, source)
	if err != nil {
		return nil, err
	}
	held := heapBytes() - before
	account := follower.Snapshot().Accounts()[0].Name
	core, bytes := time.Duration(0), 0
	for n := range sampledChanges {
		change, err := lrstate.KeyChange(follower.Snapshot(), "add key", lrconfig.KeyRecord{ID: fmt.Sprintf("%016x", n), Account: account})
		if err != nil {
			return nil, err
		}
		previous := follower.Snapshot().Head()
		head, err := publisher.Apply(ctx, time.Unix(0, 0), follower.Snapshot(), change)
		if err != nil {
			return nil, err
		}
		started := processTime()
		err = follower.Update(ctx, source)
		if err != nil {
			return nil, err
		}
		core += processTime() - started
		bytes += changeBytes(follower, previous, head)
	}
	runtime.KeepAlive(follower)
	perChange := float64(bytes) / sampledChanges
	whole, err := json.Marshal(follower.Snapshot().Head())
	if err != nil {
		return nil, err
	}
	// Each change is received once and, on average, sent once.
	perSecond := 2 * perChange * changesPerDay / secondsPerDay
	wholePerSecond := 2 * (perChange + float64(len(whole))) * changesPerDay / secondsPerDay
	return []figure{
		{"configurationMemory", float64(held) / megabyte, math.NaN(), controlMegabytes, "MB"},
		{"configurationChange", core.Seconds() * 1000 / sampledChanges, math.NaN(), math.NaN(), "ms"},
		{"configurationCore", core.Seconds() / sampledChanges * changesPerDay / secondsPerDay, math.NaN(), controlCore, "core"},
		{"configurationChangeBytes", perChange, perChange + float64(len(whole)), math.NaN(), "B"},
		{"configurationBytes", perSecond, wholePerSecond, controlBytes, "B/s"},
		{"configurationWithShards", withShards(follower.Snapshot()), math.NaN(), math.NaN(), "us"},
	}, nil
}

// changeBytes returns the size of the difference between the heads and of the changed shards.
func changeBytes(follower *lrstate.Follower, previous, head lrconfig.Head) int {
	bytes := 0
	var digests []string
	for name, digest := range head.Shards {
		if previous.Shards[name] != digest {
			digests = append(digests, digest)
			bytes += len(name) + len(digest)
		}
	}
	for _, value := range follower.ShardValues(digests) {
		bytes += len(value)
	}
	return bytes
}

// withShards returns the time to replace one shard in microseconds.
func withShards(snapshot *lrconfig.Snapshot) float64 {
	const replacements = 1000
	changed := map[string]lrconfig.Shard{lrconfig.ShardPlans: snapshot.Shard(lrconfig.ShardPlans)}
	started := time.Now()
	for range replacements {
		snapshot = snapshot.WithShards(snapshot.Head(), changed)
	}
	return float64(time.Since(started).Microseconds()) / replacements
}
