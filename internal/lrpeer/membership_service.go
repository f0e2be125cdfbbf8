package lrpeer

import (
	"context"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

type membershipService struct {
	lrpeerpb.UnimplementedMembershipServer
	membership *Membership
	listing    *InstanceList
}

// NewMembershipService returns the gRPC service through which peers exchange heartbeats and fetch the list of instances.
func NewMembershipService(membership *Membership, listing *InstanceList) lrpeerpb.MembershipServer {
	return &membershipService{membership: membership, listing: listing}
}

func (s *membershipService) Exchange(ctx context.Context, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error) {
	return s.membership.Exchange(ctx, request)
}

func (s *membershipService) FetchInstances(ctx context.Context, request *lrpeerpb.FetchInstancesRequest) (*lrpeerpb.FetchInstancesReply, error) {
	return s.listing.FetchInstances(ctx, request)
}
