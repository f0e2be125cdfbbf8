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

// shardsPerCall bounds the size of one reply.
const shardsPerCall = 16

// Peers reach other instances for their configuration.
type Peers interface {
	// Source returns the source at the peer address.
	Source(address string) Source
	// Announce tells the peer that the head is in force on the sender.
	Announce(ctx context.Context, address, sender string, head lrconfig.Head) error
}

type poolPeers struct{ pool *lrpeer.Pool }

// NewPeers returns Peers over the connections of the pool.
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
	reply, err := lrpeerpb.NewConfigurationClient(connection).FetchHead(ctx, &lrpeerpb.FetchHeadRequest{Above: base.Version})
	if err != nil {
		return lrconfig.Head{}, fmt.Errorf("ask peer %s: %w", s.address, err)
	}
	head := lrconfig.Head{
		Version: reply.GetHead().GetVersion(), WriteID: reply.GetHead().GetWriteId(), Shards: reply.GetHead().GetShards(),
	}
	return wholeHead(base, head, reply.GetBase()), nil
}

// wholeHead returns the head with all its shards. They are a difference to those of the base when its version is the
// given one.
func wholeHead(base, head lrconfig.Head, difference uint64) lrconfig.Head {
	if difference == 0 || difference != base.Version {
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
	for part := range slices.Chunk(digests, shardsPerCall) {
		reply, err := lrpeerpb.NewConfigurationClient(connection).FetchShards(ctx, &lrpeerpb.FetchShardsRequest{Digests: part})
		if err != nil {
			return nil, fmt.Errorf("ask peer %s: %w", s.address, err)
		}
		maps.Copy(values, reply.GetShards())
	}
	return values, nil
}
