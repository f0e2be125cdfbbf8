package lrfleet

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

const (
	// behindFor is how long a feed may lag behind another instance's before it is read from there.
	behindFor = 80 * time.Millisecond
	// fetchTimeout bounds the reading of a feed from another instance.
	fetchTimeout = time.Second
)

// lag says since when a feed is known to lag behind a revision.
type lag struct {
	since    time.Time
	revision uint64
	// ahead is an instance that knows the revision.
	ahead string
}

// noteRevisions must be called with the mutex held.
func (s *Sharer) noteRevisions(now time.Time, state *lrpeerpb.FleetState) {
	for feed, revision := range state.GetRevisions() {
		f, ok := s.Feeds[feed]
		if !ok || revision <= f.Latest() {
			continue
		}
		if _, ok := s.behind[feed]; !ok {
			s.behind[feed] = lag{since: now, revision: revision, ahead: state.GetName()}
		}
	}
}

// catchUp reads a feed from another instance when the own copy has lagged behind for a while.
func (s *Sharer) catchUp(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fetching {
		return
	}
	for feed, l := range s.behind {
		latest := s.Feeds[feed].Latest()
		if latest >= l.revision {
			delete(s.behind, feed)
			continue
		}
		if now.Sub(l.since) < behindFor && latest > 0 {
			continue
		}
		delete(s.behind, feed)
		p, ok := s.peers[l.ahead]
		if !ok {
			continue
		}
		s.fetching = true
		s.Go("fetch", func() { s.fetch(ctx, p.Name, p.PeerAddress, feed) })
		return
	}
}

func (s *Sharer) fetch(ctx context.Context, name, address, feed string) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.fetching = false
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	connection, err := s.Pool.Connection(address)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", name).Msg("fleet: no connection to the instance")
		return
	}
	reply, err := lrpeerpb.NewFleetClient(connection).FetchFeed(ctx, &lrpeerpb.FetchFeedRequest{Feed: feed})
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", name).Str("feed", feed).Msg("fleet: feed could not be read from the instance")
		return
	}
	err = s.Feeds[feed].Decode(s.Clock(), reply.GetEntries(), reply.GetRevision())
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", name).Str("feed", feed).Msg("fleet: feed of the instance is unreadable")
		return
	}
	s.Log.Info().Str("peer", name).Str("feed", feed).Uint64("revision", reply.GetRevision()).Msg("fleet: feed read from the instance")
}

// FetchFeed answers another instance with a copy of one feed.
func (s *Sharer) FetchFeed(_ context.Context, request *lrpeerpb.FetchFeedRequest) (*lrpeerpb.FetchFeedReply, error) {
	f, ok := s.Feeds[request.GetFeed()]
	if !ok {
		return &lrpeerpb.FetchFeedReply{}, nil
	}
	entries, revision, err := f.Encode()
	if err != nil {
		return nil, err
	}
	return &lrpeerpb.FetchFeedReply{Entries: entries, Revision: revision}, nil
}
