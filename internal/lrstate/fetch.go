package lrstate

import (
	"context"
	"fmt"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// A ShardFetcher returns the stored value of the shard with the digest.
type ShardFetcher func(ctx context.Context, digest string) ([]byte, error)

// FetchSnapshot returns the snapshot of the head. It fetches only the shards that differ from those of the base.
func FetchSnapshot(ctx context.Context, base *lrconfig.Snapshot, head lrconfig.Head, fetch ShardFetcher) (*lrconfig.Snapshot, error) {
	changed := map[string]lrconfig.Shard{}
	for name, digest := range head.Shards {
		if base.Head().Shards[name] == digest {
			continue
		}
		data, err := fetch(ctx, digest)
		if err != nil {
			return nil, fmt.Errorf("fetch shard %s: %w", name, err)
		}
		shard, err := lrconfig.DecodeShard(data, digest)
		if err != nil {
			return nil, fmt.Errorf("shard %s: %w", name, err)
		}
		changed[name] = shard
	}
	return base.WithShards(head, changed), nil
}
