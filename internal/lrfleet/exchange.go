package lrfleet

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// maxReadAge is the greatest age that is told.
const maxReadAge = time.Hour

// maxWantedAge is the age up to which other instances are told of wanted weights.
const maxWantedAge = 20 * time.Second

// exchange calls another instance.
func (s *Sharer) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	defer s.endCall(p)
	request, cursors := s.stateFor(s.Clock(), p)
	state, err := s.call(ctx, p, request)
	now := s.Clock()
	s.mutex.Lock()
	if err != nil {
		p.failedAt = now
		s.mutex.Unlock()
		s.Log.Debug().Err(err).Str("peer", p.Name).Msg("fleet: exchange failed")
		return
	}
	p.sent = cursors
	s.mutex.Unlock()
	s.hear(now, state, true)
}

// endCall lets the peer be called again.
func (s *Sharer) endCall(p *peer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.calling = false
}

func (s *Sharer) call(ctx context.Context, p *peer, state *lrpeerpb.FleetState) (*lrpeerpb.FleetState, error) {
	connection, err := s.Pool.Connection(p.PeerAddress)
	if err != nil {
		return nil, err
	}
	reply, err := lrpeerpb.NewFleetClient(connection).Share(ctx, state)
	if err != nil {
		return nil, err
	}
	return reply, validate(reply)
}

// Share answers another instance.
func (s *Sharer) Share(_ context.Context, state *lrpeerpb.FleetState) (*lrpeerpb.FleetState, error) {
	now := s.Clock()
	err := validate(state)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", state.GetName()).Msg("fleet: malformed message")
		return nil, err
	}
	s.hear(now, state, false)
	s.mutex.Lock()
	p := s.peerOf(state)
	if state.GetHeardProcess() == s.Self.Process {
		p.sent = lrbalance.Cursors{Near: state.GetHeardNear(), Far: state.GetHeardFar()}
	}
	// What is left in its own part alone tells nothing of the whole.
	knowsLevels := s.hasStarted || !s.wantsLevels
	s.mutex.Unlock()
	reply, _ := s.stateFor(now, p)
	if state.GetWantsLevels() && knowsLevels {
		reply.Levels = s.Limiter.Levels(now)
	}
	return reply, nil
}

// stateFor returns what the peer shall hear, and up to where it hears the news with that.
func (s *Sharer) stateFor(now time.Time, p *peer) (*lrpeerpb.FleetState, lrbalance.Cursors) {
	isNear := p.Zone == s.Self.Zone
	s.mutex.Lock()
	state := &lrpeerpb.FleetState{
		UptimeMillis: uint64(max(now.Sub(s.startedAt).Milliseconds(), 0)),
		Name:         s.Self.Name, Process: s.Self.Process, Zone: s.Self.Zone, PeerAddress: s.Self.PeerAddress, Strength: s.Self.Strength,
		Revisions: map[string]uint64{},
		ReadAges:  map[string]uint32{}, WantsLevels: s.wantsLevels && now.Sub(s.startedAt) < levelsFor,
		HeardNear: p.heard.Near, HeardFar: p.heard.Far, HeardProcess: p.heardProcess, SilentZones: s.silentZones(now), Rollout: s.rolloutState(now),
	}
	sum := s.sumFor(now, p)
	sent := p.sent
	s.mutex.Unlock()
	state.Used, state.Reached = sum.used, uint32(sum.reached)
	for server, l := range sum.loads {
		state.Loads = append(state.Loads, &lrpeerpb.ServerLoad{
			Server: server, WaitingTokens: uint32(max(l.Waiting, 0)), Running: uint32(max(l.Running, 0)),
		})
	}
	for name, f := range s.Feeds {
		state.Revisions[name] = f.Latest()
		state.ReadAges[name] = uint32(min(f.ReadAge(now), maxReadAge).Milliseconds())
	}
	for _, w := range s.Directory.WantedAges(now) {
		if w.Age < maxWantedAge {
			state.Wanted = append(state.Wanted, &lrpeerpb.WantedNote{
				Model: w.Model, Version: w.Version, AgeMillis: uint32(w.Age.Milliseconds()),
			})
		}
	}
	for _, w := range s.weights.news(now) {
		state.Weights = append(state.Weights, &lrpeerpb.WeightsNote{Server: w.Server, Model: w.Model, Version: w.Version})
	}
	for _, c := range s.Crashes.News(now) {
		state.Crashes = append(state.Crashes, &lrpeerpb.CrashNote{Digest: c.Digest, Server: c.Server})
	}
	s.Kept.News(now, func(note KeptNote, age time.Duration) {
		state.Kept = append(state.Kept, &lrpeerpb.KeptNote{
			Address: note.Address, Epoch: note.Epoch, IsDown: note.IsDown, AgeMillis: uint32(age.Milliseconds()),
			ResidencyMillis: uint32(note.Residency.Milliseconds()),
		})
	})
	holdings, next := s.Balancer.News(now, sent, isNear)
	state.Holdings = encodeHoldings(holdings)
	state.NextNear, state.NextFar = next.Near, next.Far
	return state, next
}

// sumFor returns the sums that the peer shall hear. It must be called with the mutex held.
func (s *Sharer) sumFor(now time.Time, p *peer) tally {
	own := tally{loads: s.Balancer.Own(), used: s.Limiter.Used(), reached: 1}
	relay := s.relayOf(now, s.Self.Zone)
	if p.Zone == s.Self.Zone && relay != nil && relay.Name == p.Name {
		return own
	}
	total := s.members.sum(p.Name)
	total.add(own)
	if p.Zone == s.Self.Zone {
		total.add(s.zones.sum(""))
	}
	return total
}

// rolloutState must be called with the mutex held.
func (s *Sharer) rolloutState(now time.Time) *lrpeerpb.RolloutState {
	if s.Rollout.IsHolder(now) {
		s.rollout = rolloutNews{holder: s.Self.Name, closing: s.Rollout.Closing(), at: now}
	}
	if s.rollout.holder == "" || now.Sub(s.rollout.at) > reachableFor {
		return nil
	}
	return &lrpeerpb.RolloutState{
		Holder: s.rollout.holder, Closing: s.rollout.closing, AgeMillis: uint32(now.Sub(s.rollout.at).Milliseconds()),
	}
}

func encodeHoldings(holdings []lrbalance.Holding) []*lrpeerpb.CacheNote {
	byServer := map[string]*lrpeerpb.CacheNote{}
	var notes []*lrpeerpb.CacheNote
	for _, h := range holdings {
		note, ok := byServer[h.Engine]
		if !ok {
			note = &lrpeerpb.CacheNote{Server: h.Engine}
			byServer[h.Engine] = note
			notes = append(notes, note)
		}
		note.Keys = append(note.Keys, uint64(h.Key))
	}
	return notes
}

func decodeHoldings(notes []*lrpeerpb.CacheNote) []lrbalance.Holding {
	var holdings []lrbalance.Holding
	for _, n := range notes {
		for _, k := range n.GetKeys() {
			holdings = append(holdings, lrbalance.Holding{Engine: n.GetServer(), Key: lrbalance.Key(k)})
		}
	}
	return holdings
}

// hear takes in what another instance tells, in its answer or in its call.
func (s *Sharer) hear(now time.Time, state *lrpeerpb.FleetState, isAnswer bool) {
	sum := newTally()
	sum.used, sum.reached = state.GetUsed(), int(state.GetReached())
	sum.uptime = time.Duration(state.GetUptimeMillis()) * time.Millisecond
	for _, l := range state.GetLoads() {
		sum.loads[l.GetServer()] = lrbalance.Load{Waiting: int(l.GetWaitingTokens()), Running: int(l.GetRunning())}
	}
	for name, f := range s.Feeds {
		age, ok := state.GetReadAges()[name]
		// What others have read is of use only once it has come here: an instance that lags behind reads for itself.
		if ok && state.GetRevisions()[name] <= f.Latest() {
			f.NoteReadAge(now, time.Duration(age)*time.Millisecond)
		}
	}
	adopt := s.noteHeard(now, state, sum, isAnswer)
	if adopt {
		s.Limiter.StartWith(now, 1, false)
		s.Limiter.Adopt(now, state.GetLevels())
	}
	for _, w := range state.GetWanted() {
		s.Directory.NoteWantedAge(now, WantedAge{
			Wanted: Wanted{Model: w.GetModel(), Version: w.GetVersion()}, Age: time.Duration(w.GetAgeMillis()) * time.Millisecond,
		})
	}
	for _, w := range state.GetWeights() {
		s.weights.add(now, WeightsNote{Server: w.GetServer(), Model: w.GetModel(), Version: w.GetVersion()})
		s.Directory.NoteVersion(w.GetServer(), w.GetModel(), w.GetVersion())
	}
	for _, c := range state.GetCrashes() {
		s.Crashes.Heard(now, Crash{Digest: c.GetDigest(), Server: c.GetServer()})
	}
	for _, k := range state.GetKept() {
		note := KeptNote{
			Address: k.GetAddress(), Epoch: k.GetEpoch(), IsDown: k.GetIsDown(),
			Residency: time.Duration(k.GetResidencyMillis()) * time.Millisecond,
		}
		s.Kept.Heard(now, note, time.Duration(k.GetAgeMillis())*time.Millisecond)
	}
	s.Balancer.Heard(now, decodeHoldings(state.GetHoldings()), state.GetZone() != s.Self.Zone)
}

// noteHeard keeps the sums where they belong, and reports whether levels of allowances shall be adopted.
func (s *Sharer) noteHeard(now time.Time, state *lrpeerpb.FleetState, sum tally, isAnswer bool) (adopt bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.peerOf(state)
	p.heardAt, p.heardProcess = now, state.GetProcess()
	p.heard = lrbalance.Cursors{Near: state.GetNextNear(), Far: state.GetNextFar()}
	switch {
	case state.GetZone() != s.Self.Zone:
		s.zones.set(now, state.GetZone(), state.GetProcess(), sum)
	case isAnswer:
		s.above = report{tally: sum, process: state.GetProcess(), at: now}
		s.aboveSilent = state.GetSilentZones()
	default:
		s.reportedAt = now
		s.members.set(now, state.GetName(), state.GetProcess(), sum)
	}
	s.noteRollout(now, state.GetRollout())
	s.noteRevisions(now, state)
	adopt = s.wantsLevels && len(state.GetLevels()) > 0
	if adopt {
		s.wantsLevels = false
	}
	return adopt
}

// peerOf returns the sender of the state. One that the list does not name yet is known from now on, since it may be the
// only one from which the newer list can be read. It must be called with the mutex held.
func (s *Sharer) peerOf(state *lrpeerpb.FleetState) *peer {
	p, known := s.peers[state.GetName()]
	if known {
		return p
	}
	p = &peer{Instance: Instance{
		Name: state.GetName(), Zone: state.GetZone(), PeerAddress: state.GetPeerAddress(), Process: state.GetProcess(), Strength: state.GetStrength(),
	}}
	s.peers[p.Name] = p
	s.Log.Info().Str("peer", p.Name).Str("zone", p.Zone).Str("address", p.PeerAddress).Msg("fleet: instance heard before it was listed")
	return p
}

// noteRollout must be called with the mutex held.
func (s *Sharer) noteRollout(now time.Time, told *lrpeerpb.RolloutState) {
	if told == nil || told.GetHolder() == s.Self.Name {
		return
	}
	at := now.Add(-time.Duration(told.GetAgeMillis()) * time.Millisecond)
	if at.After(s.rollout.at) {
		s.rollout = rolloutNews{holder: told.GetHolder(), closing: told.GetClosing(), at: at}
	}
}
