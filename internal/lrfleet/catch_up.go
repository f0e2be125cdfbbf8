package lrfleet

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

const (
	// catchUpAfter is how long a feed may lag behind the copy of another instance before it is fetched from there.
	catchUpAfter = 80 * time.Millisecond
	// fetchTimeout bounds the fetch of a feed from another instance.
	fetchTimeout = time.Second
)

// lag is a revision that a feed has not reached yet, and since when that is known.
type lag struct {
	since    time.Time
	revision uint64
	// source is an instance that has the revision.
	source string
}

// recordRevisions notes the feeds for which the sender has a later revision. It must be called with the mutex held.
func (s *Sharer) recordRevisions(now time.Time, state *lrpeerpb.FleetState) {
	for feed, revision := range state.GetRevisions() {
		f, ok := s.Feeds[feed]
		if !ok || revision <= f.Latest() {
			continue
		}
		if _, ok := s.lags[feed]; !ok {
			s.lags[feed] = lag{since: now, revision: revision, source: state.GetName()}
		}
	}
}

// catchUp fetches a feed from another instance when the own copy has lagged behind for catchUpAfter, or at once when it is empty. It runs
// one fetch at a time.
func (s *Sharer) catchUp(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fetching {
		return
	}
	for feed, l := range s.lags {
		latest := s.Feeds[feed].Latest()
		if latest >= l.revision {
			delete(s.lags, feed)
			continue
		}
		if now.Sub(l.since) < catchUpAfter && latest > 0 {
			continue
		}
		delete(s.lags, feed)
		p, ok := s.peers[l.source]
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

// FetchFeed answers another instance with the entries of one feed. The reply is empty for an unknown feed.
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
