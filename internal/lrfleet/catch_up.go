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

// lag is a version that supersedes the own entries of a feed, and since when that is known.
type lag struct {
	since   time.Time
	version FeedVersion
	// source is an instance that has the version.
	source string
}

// recordReports applies what the sender reports of its feeds, and notes those of which it has later entries. It must be called with the
// mutex held.
func (s *Sharer) recordReports(now time.Time, state *lrpeerpb.FleetState) {
	for feed, f := range s.Feeds {
		age, ok := state.GetReadAges()[feed]
		if !ok {
			continue
		}
		version := FeedVersion{
			Rewinds: state.GetFeedRewinds()[feed], Era: eraOf(state, feed), Revision: state.GetRevisions()[feed],
			Digest: state.GetFeedDigests()[feed],
		}
		isBehind := f.RecordReport(now, version, millis(age))
		if _, known := s.lags[feed]; isBehind && !known {
			s.lags[feed] = lag{since: now, version: version, source: state.GetName()}
		}
	}
}

// catchUp fetches a feed from another instance when the own entries have lagged behind for catchUpAfter, or at once when there are none.
// It runs one fetch at a time.
func (s *Sharer) catchUp(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p, feed, wanted := s.nextFetch(now)
	if p == nil {
		return
	}
	s.fetching = true
	s.Go("fetch", func() { s.fetch(ctx, p.Name, p.PeerAddress, feed, wanted) })
}

// nextFetch returns a feed to fetch now, the instance that has it and the version that it has reported, or nil. It must be called with the
// mutex held.
func (s *Sharer) nextFetch(now time.Time) (*peer, string, FeedVersion) {
	if s.fetching {
		return nil, "", FeedVersion{}
	}
	for feed, l := range s.lags {
		if !s.Feeds[feed].IsBehind(l.version) {
			delete(s.lags, feed)
			continue
		}
		if now.Sub(l.since) < catchUpAfter && s.Feeds[feed].Version().Revision > 0 {
			continue
		}
		delete(s.lags, feed)
		p, ok := s.peers[l.source]
		if ok {
			return p, feed, l.version
		}
	}
	return nil, "", FeedVersion{}
}

func (s *Sharer) fetch(ctx context.Context, name, address, feed string, wanted FeedVersion) {
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
	s.applyFeed(s.Clock(), name, feed, wanted, reply)
}

// applyFeed applies the entries of a feed that another instance has sent, which has reported the wanted version before.
func (s *Sharer) applyFeed(now time.Time, name, feed string, wanted FeedVersion, reply *lrpeerpb.FetchFeedReply) {
	f := s.Feeds[feed]
	before := f.Version().Revision
	version := FeedVersion{Rewinds: reply.GetRewinds(), Era: reply.GetEra(), Revision: reply.GetRevision()}
	if version.compare(wanted) == 0 {
		version.Digest = wanted.Digest
	}
	err := f.Decode(now, reply.GetEntries(), version)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", name).Str("feed", feed).Msg("fleet: feed of the instance is unreadable")
		return
	}
	s.Log.Info().Str("peer", name).Str("feed", feed).Uint64("before", before).Uint64("revision", reply.GetRevision()).
		Msg("fleet: feed read from the instance")
}

// FetchFeed answers another instance with the entries of one feed. The reply is empty for an unknown feed.
func (s *Sharer) FetchFeed(_ context.Context, request *lrpeerpb.FetchFeedRequest) (*lrpeerpb.FetchFeedReply, error) {
	f, ok := s.Feeds[request.GetFeed()]
	if !ok {
		return &lrpeerpb.FetchFeedReply{}, nil
	}
	entries, version, err := f.Encode()
	if err != nil {
		return nil, err
	}
	return &lrpeerpb.FetchFeedReply{Entries: entries, Rewinds: version.Rewinds, Era: version.Era, Revision: version.Revision}, nil
}
