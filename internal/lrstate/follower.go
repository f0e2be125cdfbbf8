package lrstate

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// A Follower holds the highest version of the configuration that the instance has seen. The version never falls.
type Follower struct {
	store     lrplatform.Store
	log       zerolog.Logger
	mutex     sync.Mutex
	current   atomic.Pointer[lrconfig.Snapshot]
	listeners []func(*lrconfig.Snapshot)
}

// NewFollower returns a Follower that has seen nothing yet.
func NewFollower(store lrplatform.Store, log zerolog.Logger) *Follower {
	f := &Follower{store: store, log: log}
	f.current.Store(lrconfig.NewSnapshot(lrconfig.Head{}, nil))
	return f
}

// Snapshot returns the configuration in force on this instance.
func (f *Follower) Snapshot() *lrconfig.Snapshot { return f.current.Load() }

// OnChange makes the follower call the listener with each new version. It must be called before the follower runs.
func (f *Follower) OnChange(listener func(*lrconfig.Snapshot)) {
	f.listeners = append(f.listeners, listener)
}

// Accept takes the head into force when its version is above the present one, with shards from the fetcher.
func (f *Follower) Accept(ctx context.Context, head lrconfig.Head, fetch ShardFetcher) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	base := f.Snapshot()
	if head.Version <= base.Version() {
		return nil
	}
	snapshot, err := FetchSnapshot(ctx, base, head, fetch)
	if err != nil {
		return err
	}
	f.current.Store(snapshot)
	f.log.Info().Uint64("version", head.Version).Msg("state: configuration in force")
	for _, l := range f.listeners {
		l(snapshot)
	}
	return nil
}

// Run watches the platform for new heads. It is a duty of the supervisor.
func (f *Follower) Run(ctx context.Context) error {
	after := uint64(0)
	for ctx.Err() == nil {
		changes, err := f.store.Watch(ctx, lrplatform.KindHead, after)
		if err != nil {
			return fmt.Errorf("watch head: %w", err)
		}
		err = f.acceptChanges(ctx, changes)
		if err != nil {
			return err
		}
		after = changes.Revision
	}
	return nil
}

func (f *Follower) acceptChanges(ctx context.Context, changes lrplatform.Changes) error {
	for _, o := range changes.Objects {
		if o.Version == 0 || o.Name != lrplatform.HeadName {
			continue
		}
		var head lrconfig.Head
		err := json.Unmarshal(o.Value, &head)
		if err != nil {
			return fmt.Errorf("decode head: %w", err)
		}
		err = f.Accept(ctx, head, f.fetchFromPlatform)
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) fetchFromPlatform(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, shardFetchTimeout)
	defer cancel()
	object, err := f.store.Get(ctx, lrplatform.KindShard, digest)
	return object.Value, err
}

const shardFetchTimeout = 2 * time.Second
