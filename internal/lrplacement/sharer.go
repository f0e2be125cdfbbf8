// Package lrplacement tells the other instances what this one has placed and how loaded it has seen the engines.
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
	// Interval is the time between two sendings.
	Interval = 25 * time.Millisecond
	// bytesPerSecond bounds what an instance sends to all others together.
	bytesPerSecond = 6000
	// messageBytes is what the frames around one message take.
	messageBytes = 90
	noteLimit    = 64
	shareTimeout = 300 * time.Millisecond
	parallel     = 16
)

// A Notebook keeps notes of placements.
type Notebook interface {
	TakeNotes(now time.Time, limit int) []lrroute.Note
	ApplyNotes(now time.Time, notes []lrroute.Note)
	ApplyHolding(now time.Time, holding lrroute.Holding)
}

// A LoadBook keeps the load of engines and what their cache events told.
type LoadBook interface {
	Notices(now time.Time) []lrregistry.Notice
	Apply(now time.Time, notices []lrregistry.Notice)
	TakeHoldings() []lrroute.Holding
}

// A Sharer sends notes and load reports to the other instances, within a budget of bytes. It serves those of others.
type Sharer struct {
	lrpeerpb.UnimplementedPlacementServer
	roster lrpeer.Roster
	pool   *lrpeer.Pool
	notes  Notebook
	loads  LoadBook
	clock  func() time.Time
	budget budget
	next   int
	log    zerolog.Logger
}

// NewSharer returns a Sharer.
func NewSharer(
	roster lrpeer.Roster, pool *lrpeer.Pool, notes Notebook, loads LoadBook, clock func() time.Time, log zerolog.Logger,
) *Sharer {
	return &Sharer{
		roster: roster, pool: pool, notes: notes, loads: loads, clock: clock,
		budget: budget{perSecond: bytesPerSecond}, log: log,
	}
}

// Send sends what is new to as many other instances as the budget allows, those of the own zone first.
func (s *Sharer) Send(ctx context.Context, now time.Time) {
	request := newShareRequest(s.notes.TakeNotes(now, noteLimit), s.loads.Notices(now), s.loads.TakeHoldings())
	size := proto.Size(request)
	if size == 0 {
		return
	}
	size += messageBytes
	receivers := s.receivers(int(s.budget.allowed(now) / float64(size)))
	s.budget.spend(size * len(receivers))
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(parallel)
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

// receivers returns at most limit other instances. Each call begins behind the last one of the call before.
func (s *Sharer) receivers(limit int) []lrpeer.Member {
	self := s.roster.Self()
	var near, far []lrpeer.Member
	for _, m := range s.roster.Members() {
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

// Share takes in what another instance tells.
func (s *Sharer) Share(_ context.Context, request *lrpeerpb.ShareRequest) (*lrpeerpb.ShareReply, error) {
	now := s.clock()
	s.notes.ApplyNotes(now, notesOf(request))
	s.loads.Apply(now, noticesOf(request))
	for _, h := range holdingsOf(request) {
		s.notes.ApplyHolding(now, h)
	}
	return &lrpeerpb.ShareReply{}, nil
}
