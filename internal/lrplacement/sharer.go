// Package lrplacement exchanges updates between instances: which prompt prefixes each instance has placed on which engine,
// the engines' load, and the changes of their caches.
package lrplacement

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	// Interval is the time between two calls of Send.
	Interval = 25 * time.Millisecond
	// bytesPerSecond limits what an instance sends to all others together.
	bytesPerSecond = 6000
	// messageOverheadBytes is what the framing of one message takes.
	messageOverheadBytes = 90
	maxPlacements        = 64
	shareTimeout         = 300 * time.Millisecond
	maxParallelSends     = 16
)

// A PlacementUpdates is the placer's side of the exchange: it returns its own new placements and applies those of other
// instances.
type PlacementUpdates interface {
	TakePlacementUpdates(now time.Time, limit int) []lrroute.PlacementUpdate
	ApplyPlacementUpdates(now time.Time, notes []lrroute.PlacementUpdate)
	ApplyCacheUpdate(now time.Time, update lrroute.CacheUpdate)
}

// A LoadUpdates is the registry's side of the exchange: it returns new loads and cache updates of engines and applies loads
// that other instances have read.
type LoadUpdates interface {
	TakeUpdates(now time.Time) []lrregistry.ServerUpdate
	Apply(now time.Time, updates []lrregistry.ServerUpdate)
	TakeCacheUpdates() []lrroute.CacheUpdate
}

// A Sharer sends placements, loads and cache updates to the other instances within a budget of bytes, and is the gRPC
// service that receives theirs.
type Sharer struct {
	lrpeerpb.UnimplementedPlacementServer
	membership lrpeer.MemberSource
	pool       *lrpeer.Pool
	placements PlacementUpdates
	loads      LoadUpdates
	clock      func() time.Time
	budget     budget
	// next is the index of the last receiver in rotation.
	next int
	log  zerolog.Logger
}

// NewSharer returns a Sharer.
func NewSharer(
	membership lrpeer.MemberSource, pool *lrpeer.Pool, placements PlacementUpdates, loads LoadUpdates, clock func() time.Time, log zerolog.Logger,
) *Sharer {
	return &Sharer{
		membership: membership, pool: pool, placements: placements, loads: loads, clock: clock,
		budget: budget{perSecond: bytesPerSecond}, log: log,
	}
}

// Send sends new updates to as many other instances as the budget allows, those of this instance's zone first. Updates
// for which the budget is too small are dropped.
func (s *Sharer) Send(ctx context.Context, now time.Time) {
	request := newShareRequest(s.placements.TakePlacementUpdates(now, maxPlacements), s.loads.TakeUpdates(now), s.loads.TakeCacheUpdates())
	size := proto.Size(request)
	if size == 0 {
		return
	}
	size += messageOverheadBytes
	receivers := s.receivers(int(s.budget.allowed(now) / float64(size)))
	s.budget.spend(size * len(receivers))
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelSends)
	for _, m := range receivers {
		group.Go(func() error {
			s.send(ctx, m, request)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Sharer) send(ctx context.Context, member lrpeer.Member, request *lrpeerpb.ShareRequest) {
	connection, err := s.pool.Connection(member.PeerAddress)
	if err != nil {
		return
	}
	_, err = lrpeerpb.NewPlacementClient(connection).Share(ctx, request)
	if err != nil {
		s.log.Debug().Err(err).Str("peer", member.Name).Msg("placement: notes not sent")
	}
}

// receivers returns at most limit other instances, those of this instance's zone first. Where the limit leaves some out,
// the next call continues after the last one chosen.
func (s *Sharer) receivers(limit int) []lrpeer.Member {
	self := s.membership.Self()
	var near, far []lrpeer.Member
	for _, m := range s.membership.Members() {
		switch {
		case m.Name == self.Name || m.PeerAddress == "":
		case m.Zone == self.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if limit <= len(near) {
		return s.rotate(near, limit)
	}
	return append(near, s.rotate(far, min(len(far), limit-len(near)))...)
}

func (s *Sharer) rotate(members []lrpeer.Member, count int) []lrpeer.Member {
	chosen := make([]lrpeer.Member, 0, max(0, count))
	for range count {
		s.next = (s.next + 1) % len(members)
		chosen = append(chosen, members[s.next])
	}
	return chosen
}

// Share applies the updates of another instance.
func (s *Sharer) Share(_ context.Context, request *lrpeerpb.ShareRequest) (*lrpeerpb.ShareReply, error) {
	now := s.clock()
	s.placements.ApplyPlacementUpdates(now, placementsOf(request))
	s.loads.Apply(now, loadsOf(request))
	for _, h := range cacheUpdatesOf(request) {
		s.placements.ApplyCacheUpdate(now, h)
	}
	return &lrpeerpb.ShareReply{}, nil
}
