package lrstate

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

const (
	// parallelReads bounds the concurrent shard reads of one instance at the platform.
	parallelReads     = 8
	shardFetchTimeout = 10 * time.Second
)

// A Source is a place from which the configuration is read: the platform or a peer.
type Source interface {
	// Head returns the source's head. The head may leave out shards that equal those of the base. It has version zero
	// when the source has no version above that of the base.
	Head(ctx context.Context, base lrconfig.Head) (lrconfig.Head, error)
	// Shards returns the stored values of shards by digest. A peer leaves out the shards that it does not have.
	Shards(ctx context.Context, digests []string) (map[string][]byte, error)
}

type platformSource struct{ store lrplatform.Store }

// NewPlatformSource returns a Source that reads from the platform.
func NewPlatformSource(store lrplatform.Store) Source { return &platformSource{store: store} }

func (s *platformSource) Head(ctx context.Context, _ lrconfig.Head) (lrconfig.Head, error) {
	head, _, err := readHead(ctx, s.store)
	return head, err
}

func (s *platformSource) Shards(ctx context.Context, digests []string) (map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, shardFetchTimeout)
	defer cancel()
	var mutex sync.Mutex
	values := make(map[string][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for _, d := range digests {
		group.Go(func() error {
			object, err := s.store.Get(ctx, lrplatform.KindShard, d)
			if err != nil {
				return fmt.Errorf("read shard %s: %w", d, err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			values[d] = object.Value
			return nil
		})
	}
	return values, group.Wait()
}

// readHead returns the stored head and the object that holds it. Before the first change the head has version zero.
func readHead(ctx context.Context, store lrplatform.Store) (lrconfig.Head, lrplatform.Object, error) {
	var head lrconfig.Head
	object, err := store.Get(ctx, lrplatform.KindHead, lrplatform.HeadName)
	if lrplatform.ErrNotFound.Has(err) {
		return head, lrplatform.Object{}, nil
	}
	if err != nil {
		return head, object, err
	}
	err = json.Unmarshal(object.Value, &head)
	if err != nil {
		return head, object, fmt.Errorf("decode head: %w", err)
	}
	return head, object, nil
}
