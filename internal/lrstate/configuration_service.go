package lrstate

import (
	"context"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

type configurationService struct {
	lrpeerpb.UnimplementedConfigurationServer
	follower *Follower
	relay    *Relay
}

// NewConfigurationService returns the gRPC service by which peers announce and read configuration versions.
func NewConfigurationService(follower *Follower, relay *Relay) lrpeerpb.ConfigurationServer {
	return &configurationService{follower: follower, relay: relay}
}

func (s *configurationService) Announce(_ context.Context, request *lrpeerpb.AnnounceRequest) (*lrpeerpb.AnnounceReply, error) {
	s.relay.Offer(request.GetSender(), request.GetHead().GetVersion())
	return &lrpeerpb.AnnounceReply{Version: s.follower.Snapshot().Version()}, nil
}

func (s *configurationService) FetchHead(_ context.Context, request *lrpeerpb.FetchHeadRequest) (*lrpeerpb.FetchHeadReply, error) {
	head, base := s.follower.HeadAbove(request.GetAbove())
	reply := &lrpeerpb.FetchHeadReply{Base: base}
	if head.Version > 0 {
		reply.Head = &lrpeerpb.Head{Version: head.Version, WriteId: head.WriteID, Shards: head.Shards}
	}
	return reply, nil
}

func (s *configurationService) FetchShards(_ context.Context, request *lrpeerpb.FetchShardsRequest) (*lrpeerpb.FetchShardsReply, error) {
	return &lrpeerpb.FetchShardsReply{Shards: s.follower.ShardValues(request.GetDigests())}, nil
}
