package lrstate

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// A ShardFetcher returns the stored values of the shards with the digests, each under its digest.
type ShardFetcher func(ctx context.Context, digests []string) (map[string][]byte, error)

// FetchSnapshot returns the snapshot of the head, and the fetched values under their digests. It fetches only the
// shards that differ from those of the base. Shards of the base that the head does not list are left out.
func FetchSnapshot(ctx context.Context, base *lrconfig.Snapshot, head lrconfig.Head, fetch ShardFetcher) (*lrconfig.Snapshot, map[string][]byte, error) {
	missing := missingShards(base.Head(), head)
	digests := slices.Sorted(maps.Values(missing))
	values := map[string][]byte{}
	if len(digests) > 0 {
		fetched, err := fetch(ctx, slices.Compact(digests))
		if err != nil {
			return nil, nil, err
		}
		values = fetched
	}
	changed := make(map[string]lrconfig.Shard, len(missing))
	for name, digest := range missing {
		data, ok := values[digest]
		if !ok {
			return nil, nil, fmt.Errorf("shard %s: its value was not sent", name)
		}
		shard, err := lrconfig.DecodeShard(data, digest)
		if err != nil {
			return nil, nil, fmt.Errorf("shard %s: %w", name, err)
		}
		changed[name] = shard
	}
	shards := changed
	for name := range head.Shards {
		if _, isChanged := missing[name]; !isChanged {
			shards[name] = base.Shard(name)
		}
	}
	return lrconfig.NewSnapshot(head, shards), values, nil
}

func missingShards(base, head lrconfig.Head) map[string]string {
	missing := map[string]string{}
	for name, digest := range head.Shards {
		if base.Shards[name] != digest {
			missing[name] = digest
		}
	}
	return missing
}
