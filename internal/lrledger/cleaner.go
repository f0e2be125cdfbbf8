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
	// shards is the number of parts of the name space that are cleaned one by one.
	shards = 256
	// maxRemovals bounds the records that one step removes, to spare the platform's write rate.
	maxRemovals = 50
)

// A Cleaner removes the records of paid actions that are older than the retention. It never removes one in doubt.
type Cleaner struct {
	store     lrplatform.Store
	roster    lrpeer.Roster
	retention time.Duration
	log       zerolog.Logger
	next      int
}

// NewCleaner returns a Cleaner that shares the name space with the other members of the roster.
func NewCleaner(store lrplatform.Store, roster lrpeer.Roster, retention time.Duration, log zerolog.Logger) *Cleaner {
	return &Cleaner{store: store, roster: roster, retention: retention, log: log}
}

// Clean looks at the next shard that falls to this instance.
func (c *Cleaner) Clean(ctx context.Context, now time.Time) {
	for range shards {
		prefix := fmt.Sprintf("%02x", c.next)
		c.next = (c.next + 1) % shards
		if c.isMine(prefix) {
			c.cleanShard(ctx, now, prefix)
			return
		}
	}
}

// isMine reports whether this instance is responsible for the shard. Two instances that disagree do no harm.
func (c *Cleaner) isMine(prefix string) bool {
	var names []string
	for _, m := range c.roster.Members() {
		if !m.Leaving {
			names = append(names, m.Name)
		}
	}
	owner := lrroute.Owner(prefix, names)
	return owner >= 0 && names[owner] == c.roster.Self().Name
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
