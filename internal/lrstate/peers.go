package lrstate

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// shardsPerCall is the most shards that one call asks for, which bounds the size of the reply.
const shardsPerCall = 16

// Peers reads the configuration of other instances and announces versions to them.
type Peers interface {
	// Source returns the Source that reads from the instance at the peer address.
	Source(address string) Source
	// Announce reports to the peer that the head is active on the sender.
	Announce(ctx context.Context, address, sender string, head lrconfig.Head) error
}

type poolPeers struct{ pool *lrpeer.Pool }

// NewPeers returns Peers that use the connections of the pool.
func NewPeers(pool *lrpeer.Pool) Peers { return &poolPeers{pool: pool} }

func (p *poolPeers) Source(address string) Source { return &peerSource{pool: p.pool, address: address} }

func (p *poolPeers) Announce(ctx context.Context, address, sender string, head lrconfig.Head) error {
	connection, err := p.pool.Connection(address)
	if err != nil {
		return err
	}
	_, err = lrpeerpb.NewConfigurationClient(connection).Announce(ctx, &lrpeerpb.AnnounceRequest{
		Sender: sender, Head: &lrpeerpb.Head{Version: head.Version, WriteId: head.WriteID},
	})
	return err
}

type peerSource struct {
	pool    *lrpeer.Pool
	address string
}

func (s *peerSource) Head(ctx context.Context, base lrconfig.Head) (lrconfig.Head, error) {
	connection, err := s.pool.Connection(s.address)
	if err != nil {
		return lrconfig.Head{}, err
	}
	return headFromPeer(base, func(above uint64) (lrconfig.Head, uint64, error) {
		reply, err := lrpeerpb.NewConfigurationClient(connection).FetchHead(ctx, &lrpeerpb.FetchHeadRequest{Above: above})
		if err != nil {
			return lrconfig.Head{}, 0, fmt.Errorf("ask peer %s: %w", s.address, err)
		}
		head := lrconfig.Head{
			Version: reply.GetHead().GetVersion(), WriteID: reply.GetHead().GetWriteId(), Shards: reply.GetHead().GetShards(),
		}
		return head, reply.GetBase(), nil
	})
}

// headFromPeer returns a peer's head above the base. The fetch returns the peer's head above a version, and the version to which its shards
// are the difference or zero. If the peer has held another head under the version of the base, the difference does not fit, and the whole
// head is fetched.
func headFromPeer(base lrconfig.Head, fetch func(above uint64) (lrconfig.Head, uint64, error)) (lrconfig.Head, error) {
	head, differenceTo, err := fetch(base.Version)
	if err != nil {
		return head, err
	}
	head = completeHead(base, head, differenceTo)
	if head.Version == 0 || head.IsConsistent() {
		return head, nil
	}
	head, _, err = fetch(0)
	return head, err
}

// completeHead returns the head with all its shards. When the difference version is that of the base, the head lists only
// the shards that differ from the base.
func completeHead(base, head lrconfig.Head, differenceTo uint64) lrconfig.Head {
	if differenceTo == 0 || differenceTo != base.Version {
		return head
	}
	shards := maps.Clone(base.Shards)
	maps.Copy(shards, head.Shards)
	head.Shards = shards
	return head
}

func (s *peerSource) Shards(ctx context.Context, digests []string) (map[string][]byte, error) {
	connection, err := s.pool.Connection(s.address)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(digests))
	for chunk := range slices.Chunk(digests, shardsPerCall) {
		reply, err := lrpeerpb.NewConfigurationClient(connection).FetchShards(ctx, &lrpeerpb.FetchShardsRequest{Digests: chunk})
		if err != nil {
			return nil, fmt.Errorf("ask peer %s: %w", s.address, err)
		}
		maps.Copy(values, reply.GetShards())
	}
	return values, nil
}
