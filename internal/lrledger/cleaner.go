package lrledger

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	// shardCount is the number of shards, one for each two-digit hexadecimal prefix of record names.
	shardCount = 256
	// maxRemovals bounds the records that one call of Clean removes, to limit the writes to the platform.
	maxRemovals = 50
)

// A Cleaner removes records of paid actions that are older than the retention period. It never removes the record of an
// action in doubt.
type Cleaner struct {
	store      lrplatform.Store
	membership lrpeer.MemberSource
	retention  time.Duration
	log        zerolog.Logger
	nextShard  int
}

// NewCleaner returns a Cleaner that divides the shards with the other members.
func NewCleaner(store lrplatform.Store, membership lrpeer.MemberSource, retention time.Duration, log zerolog.Logger) *Cleaner {
	return &Cleaner{store: store, membership: membership, retention: retention, log: log}
}

// Clean removes expired records from the next shard that this instance owns.
func (c *Cleaner) Clean(ctx context.Context, now time.Time) {
	for range shardCount {
		prefix := fmt.Sprintf("%02x", c.nextShard)
		c.nextShard = (c.nextShard + 1) % shardCount
		if c.isOwnShard(prefix) {
			c.cleanShard(ctx, now, prefix)
			return
		}
	}
}

// isOwnShard reports whether this instance owns the shard. It does no harm when several instances clean the same shard.
func (c *Cleaner) isOwnShard(prefix string) bool {
	var names []string
	for _, m := range c.membership.Members() {
		if !m.Leaving {
			names = append(names, m.Name)
		}
	}
	owner := lrroute.Owner(prefix, names)
	return owner >= 0 && names[owner] == c.membership.Self().Name
}

func (c *Cleaner) cleanShard(ctx context.Context, now time.Time, prefix string) {
	objects, err := c.store.List(ctx, lrplatform.KindPaid, prefix)
	if err != nil {
		c.log.Warn().Err(err).Msg("paid: expired records not read, trying again later")
		return
	}
	removed := 0
	for _, o := range objects {
		record, err := decode(o)
		if err != nil || !record.Expired(now, c.retention) || removed == maxRemovals {
			continue
		}
		err = c.store.Delete(ctx, o)
		if err == nil {
			removed++
		}
	}
	if removed > 0 {
		c.log.Info().Int("records", removed).Msg("paid: removed expired records")
	}
}
