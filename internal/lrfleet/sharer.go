package lrfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	// SharePeriod is the time between two exchanges of a pair of instances.
	SharePeriod = 100 * time.Millisecond
	// shareTimeout bounds one exchange.
	shareTimeout = 400 * time.Millisecond
	// reachableFor is the silence after which an instance counts as out of reach.
	reachableFor = 700 * time.Millisecond
	// behindFor is how long a feed may lag behind another instance's before it is read from there.
	behindFor = 150 * time.Millisecond
	// fetchTimeout bounds the reading of a feed from another instance.
	fetchTimeout = time.Second
)

// Rollout is what the sharer tells and hears of the change of weights.
type Rollout interface {
	// IsHolder reports whether this instance gives the orders.
	IsHolder(now time.Time) bool
	// Closing returns the servers that this instance is about to give orders to.
	Closing() []string
	// Changed returns the servers that have taken new weights of late.
	Changed(now time.Time) []WeightsNote
}

// A WeightsNote tells that a server has taken new weights.
type WeightsNote struct {
	Server  string
	Model   string
	Version int64
}

// SharerParts are what a Sharer works with.
type SharerParts struct {
	Self      Instance
	Directory *Directory
	Balancer  *lrbalance.Balancer
	Limiter   *lrlimit.Shared
	Crashes   *Crashes
	Rollout   Rollout
	Pool      *lrpeer.Pool
	Feeds     map[string]Relayed
	Clock     func() time.Time
	Log       zerolog.Logger
}

// A Sharer exchanges state with the other instances. It is safe for use by several goroutines.
type Sharer struct {
	lrpeerpb.UnimplementedFleetServer
	SharerParts
	started time.Time

	mutex sync.Mutex
	peers map[string]*peer
	// wantsLevels is true until another instance has told the levels of allowances.
	wantsLevels bool
	holder      string
	holderAt    time.Time
	closing     []string
	// behind are the feeds that are known to lag behind another instance's.
	behind   map[string]lag
	fetching bool
}

// lag says since when a feed is known to lag behind a revision.
type lag struct {
	since    time.Time
	revision uint64
	// ahead is an instance that knows the revision.
	ahead string
}

type peer struct {
	Instance
	heardAt time.Time
	calling bool
}

// NewSharer returns a Sharer that knows no other instance.
func NewSharer(parts SharerParts, wantsLevels bool) *Sharer {
	return &Sharer{
		SharerParts: parts, started: parts.Clock(), peers: map[string]*peer{}, wantsLevels: wantsLevels, behind: map[string]lag{},
	}
}

// SetInstances takes in the instances that the platform lists.
func (s *Sharer) SetInstances(now time.Time, listed map[string]Instance) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, i := range listed {
		if name == s.Self.Name || i.PeerAddress == "" {
			continue
		}
		p, ok := s.peers[name]
		if !ok {
			p = &peer{}
			s.peers[name] = p
			s.Log.Info().Str("peer", name).Str("address", i.PeerAddress).Msg("fleet: instance joined")
		}
		p.Instance = Instance{Name: i.Name, Zone: i.Zone, PeerAddress: i.PeerAddress, Process: p.Process}
	}
	for name, p := range s.peers {
		if _, ok := listed[name]; !ok && now.Sub(p.heardAt) > reachableFor {
			delete(s.peers, name)
		}
	}
}

// Instances returns how many instances there are, this one included.
func (s *Sharer) Instances() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.peers) + 1
}

// Reached returns how many instances are within reach, this one included.
func (s *Sharer) Reached(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reached := 1
	for _, p := range s.peers {
		if now.Sub(p.heardAt) < reachableFor {
			reached++
		}
	}
	return reached
}

// silentAfter is the silence of all instances of an availability zone after which it seems to be cut off.
const silentAfter = 350 * time.Millisecond

// SilentZones returns the availability zones of which no instance is heard.
func (s *Sharer) SilentZones(now time.Time) map[string]bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	silent := map[string]bool{}
	for _, p := range s.peers {
		isSilent, seen := silent[p.Zone]
		silent[p.Zone] = (isSilent || !seen) && now.Sub(p.heardAt) > silentAfter
	}
	silent[s.Self.Zone] = false
	return silent
}

// HolderHeard reports whether another instance that gives orders to engines has been heard of late.
func (s *Sharer) HolderHeard(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holder != "" && now.Sub(s.holderAt) < reachableFor
}

// Step begins an exchange with each instance that was not heard within the period, and takes note of those that are
// out of reach.
func (s *Sharer) Step(ctx context.Context, now time.Time) {
	for _, p := range s.due(now) {
		go s.exchange(ctx, p)
	}
	s.noteReach(now)
	s.noteClosing(now)
	s.catchUp(ctx, now)
}

// due returns the instances to call now. Of each pair either side may call, so that one call a period is enough.
func (s *Sharer) due(now time.Time) []*peer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var due []*peer
	for _, p := range s.peers {
		pause := SharePeriod/2 + time.Duration(rand.Int64N(int64(SharePeriod)))
		if !p.calling && now.Sub(p.heardAt) >= pause {
			p.calling = true
			due = append(due, p)
		}
	}
	return due
}

func (s *Sharer) exchange(ctx context.Context, p *peer) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		p.calling = false
	}()
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	connection, err := s.Pool.Connection(p.PeerAddress)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", p.Name).Msg("fleet: no connection to the instance")
		return
	}
	state, err := lrpeerpb.NewFleetClient(connection).Share(ctx, s.state(s.Clock(), s.needsLevels()))
	if err != nil {
		s.Log.Debug().Err(err).Str("peer", p.Name).Msg("fleet: exchange failed")
		return
	}
	s.hear(s.Clock(), state)
}

// Share answers another instance.
func (s *Sharer) Share(_ context.Context, state *lrpeerpb.FleetState) (*lrpeerpb.FleetState, error) {
	now := s.Clock()
	s.hear(now, state)
	reply := s.state(now, false)
	if state.GetWantsLevels() && !s.needsLevels() {
		reply.Levels = s.Limiter.Levels(now)
	}
	return reply, nil
}

func (s *Sharer) needsLevels() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.wantsLevels
}

func (s *Sharer) state(now time.Time, wantsLevels bool) *lrpeerpb.FleetState {
	state := &lrpeerpb.FleetState{
		Name: s.Self.Name, Process: s.Self.Process, Revisions: map[string]uint64{}, Used: s.Limiter.Used(),
		WantsLevels: wantsLevels, IsRolloutHolder: s.Rollout.IsHolder(now),
	}
	for name, f := range s.Feeds {
		state.Revisions[name] = f.Latest()
	}
	for server, l := range s.Balancer.Own() {
		state.Loads = append(state.Loads, &lrpeerpb.ServerLoad{
			Server: server, WaitingTokens: uint32(max(l.Waiting, 0)), Running: uint32(max(l.Running, 0)),
		})
	}
	if state.GetIsRolloutHolder() {
		state.Closing = s.Rollout.Closing()
	}
	for _, w := range s.Rollout.Changed(now) {
		state.Weights = append(state.Weights, &lrpeerpb.WeightsNote{Server: w.Server, Model: w.Model, Version: w.Version})
	}
	for _, h := range s.Balancer.News(now) {
		note := &lrpeerpb.CacheNote{Server: h.Engine}
		for _, k := range h.Keys {
			note.Keys = append(note.Keys, uint64(k))
		}
		state.Holdings = append(state.Holdings, note)
	}
	for _, c := range s.Crashes.News(now) {
		state.Crashes = append(state.Crashes, &lrpeerpb.CrashNote{Digest: c.Digest, Server: c.Server})
	}
	return state
}

// hear takes in what another instance tells.
func (s *Sharer) hear(now time.Time, state *lrpeerpb.FleetState) {
	adopt, known := s.noteHeard(now, state)
	if !known {
		return
	}
	if adopt {
		s.Limiter.Adopt(now, state.GetLevels())
	}
	s.Limiter.Heard(now, state.GetName()+"/"+state.GetProcess(), state.GetUsed())
	loads := make(map[string]lrbalance.Load, len(state.GetLoads()))
	for _, l := range state.GetLoads() {
		loads[l.GetServer()] = lrbalance.Load{Waiting: int(l.GetWaitingTokens()), Running: int(l.GetRunning())}
	}
	s.Balancer.SetPeer(state.GetName(), loads)
	for _, w := range state.GetWeights() {
		s.Directory.NoteVersion(w.GetServer(), w.GetModel(), w.GetVersion())
	}
	for _, h := range state.GetHoldings() {
		holding := lrbalance.Holding{Engine: h.GetServer()}
		for _, k := range h.GetKeys() {
			holding.Keys = append(holding.Keys, lrbalance.Key(k))
		}
		s.Balancer.Heard(now, holding)
	}
	for _, c := range state.GetCrashes() {
		s.Crashes.Heard(now, Crash{Digest: c.GetDigest(), Server: c.GetServer()})
	}
}

// noteHeard reports whether levels of allowances shall be adopted, and whether the sender is known.
func (s *Sharer) noteHeard(now time.Time, state *lrpeerpb.FleetState) (adopt, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p, ok := s.peers[state.GetName()]
	if !ok {
		return false, false
	}
	if p.Process != state.GetProcess() {
		s.Limiter.Lost(p.Name + "/" + p.Process)
		p.Process = state.GetProcess()
	}
	if now.Sub(p.heardAt) > reachableFor {
		s.Log.Info().Str("peer", p.Name).Msg("fleet: instance is within reach")
	}
	p.heardAt = now
	if state.GetIsRolloutHolder() {
		s.holder, s.holderAt, s.closing = state.GetName(), now, state.GetClosing()
	} else if s.holder == state.GetName() {
		s.holder, s.closing = "", nil
	}
	for feed, revision := range state.GetRevisions() {
		f, ok := s.Feeds[feed]
		if !ok || revision <= f.Latest() {
			continue
		}
		if _, ok := s.behind[feed]; !ok {
			s.behind[feed] = lag{since: now, revision: revision, ahead: state.GetName()}
		}
	}
	adopt = s.wantsLevels && len(state.GetLevels()) > 0
	if adopt {
		s.wantsLevels = false
	}
	return adopt, true
}

// noteReach forgets the loads of instances out of reach, and keeps to the part of the limits of those within reach.
func (s *Sharer) noteReach(now time.Time) {
	reached, known := s.Reached(now), s.Instances()
	for _, p := range s.outOfReach(now) {
		s.Balancer.SetPeer(p.Name, nil)
		s.Limiter.Lost(p.Name + "/" + p.Process)
	}
	s.Limiter.SetShare(now, float64(reached)/float64(known))
}

func (s *Sharer) outOfReach(now time.Time) []Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var lost []Instance
	for _, p := range s.peers {
		if now.Sub(p.heardAt) >= reachableFor {
			lost = append(lost, p.Instance)
		}
	}
	return lost
}

// noteClosing tells the directory which servers are about to change their weights.
func (s *Sharer) noteClosing(now time.Time) {
	own := s.Rollout.Closing()
	s.mutex.Lock()
	if now.Sub(s.holderAt) < reachableFor {
		own = append(own, s.closing...)
	}
	s.mutex.Unlock()
	s.Directory.SetClosing(own)
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
		go s.fetch(ctx, *p, feed)
		return
	}
}

func (s *Sharer) fetch(ctx context.Context, from peer, feed string) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.fetching = false
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	connection, err := s.Pool.Connection(from.PeerAddress)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", from.Name).Msg("fleet: no connection to the instance")
		return
	}
	reply, err := lrpeerpb.NewFleetClient(connection).FetchFeed(ctx, &lrpeerpb.FetchFeedRequest{Feed: feed})
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", from.Name).Str("feed", feed).Msg("fleet: feed could not be read from the instance")
		return
	}
	err = s.Feeds[feed].Decode(s.Clock(), reply.GetEntries(), reply.GetRevision())
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", from.Name).Str("feed", feed).Msg("fleet: feed of the instance is unreadable")
		return
	}
	s.Log.Info().Str("peer", from.Name).Str("feed", feed).Uint64("revision", reply.GetRevision()).Msg("fleet: feed read from the instance")
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
