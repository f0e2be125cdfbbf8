package lrfleet

import (
	"context"
	"math"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// maxReadAge bounds the read ages and the ages of desired versions that are sent.
const maxReadAge = time.Hour

// exchange sends the state of this instance to a peer and applies the state in its answer.
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
	s.receive(now, state, true)
}

// endCall allows the next call to the peer.
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

// Share applies the state that another instance reports and answers with the state of this one.
func (s *Sharer) Share(_ context.Context, state *lrpeerpb.FleetState) (*lrpeerpb.FleetState, error) {
	now := s.Clock()
	err := validate(state)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", state.GetName()).Msg("fleet: malformed message")
		return nil, err
	}
	s.receive(now, state, false)
	s.mutex.Lock()
	p := s.peerOf(state)
	if state.GetHeardProcess() == s.Self.Process {
		p.sent = lrbalance.Cursors{SameZone: state.GetHeardNear(), OtherZones: state.GetHeardFar()}
	}
	// The level of an instance that still uses only its own share says nothing about the whole bucket.
	knowsLevels := s.hasStarted || !s.wantsLevels
	s.mutex.Unlock()
	reply, _ := s.stateFor(now, p)
	if state.GetWantsLevels() && knowsLevels {
		reply.Levels = s.Limiter.Levels(now)
	}
	return reply, nil
}

// stateFor returns the state to send to the peer, and the cursors up to which the peer knows the cache updates once it has received it.
func (s *Sharer) stateFor(now time.Time, p *peer) (*lrpeerpb.FleetState, lrbalance.Cursors) {
	isNear := p.Zone == s.Self.Zone
	s.mutex.Lock()
	state := &lrpeerpb.FleetState{
		UptimeMillis: uint64(max(now.Sub(s.startedAt).Milliseconds(), 0)),
		Name:         s.Self.Name, Process: s.Self.Process, Zone: s.Self.Zone, PeerAddress: s.Self.PeerAddress, Strength: s.Self.Strength,
		Revisions: map[string]uint64{}, FeedDigests: map[string]uint64{}, FeedRewinds: map[string]uint32{},
		ReadAges: map[string]uint32{}, WantsLevels: s.wantsLevels && now.Sub(s.startedAt) < levelsTimeout,
		HeardNear: p.received.SameZone, HeardFar: p.received.OtherZones, HeardProcess: p.receivedProcess, SilentZones: s.unreachableZones(now), Rollout: s.rolloutState(now),
		SilentInstances: s.silentFor(now, p),
	}
	allNotices := now.Sub(p.noticesAt) >= noticePeriod
	if allNotices {
		p.noticesAt = now
	}
	sum := s.sumFor(now, p)
	sent := p.sent
	s.mutex.Unlock()
	state.Used, state.Reached = sum.used, uint32(sum.reached)
	s.releasesFor(now, p, sum.rollouts, state)
	state.Demand = encodeDemand(sum.demand)
	for server, l := range sum.loads {
		l = l.WithoutUsualSlowness()
		state.Loads = append(state.Loads, &lrpeerpb.ServerLoad{
			Server: server, WaitingTokens: uint32(max(l.Waiting, 0)), Running: uint32(max(l.Running, 0)),
			HeldTokens: uint32(min(max(l.Held, 0), math.MaxUint32)), SlownessSum: int32(l.SlownessSum), SlownessWeight: uint32(max(l.SlownessWeight, 0)),
		})
	}
	eras := make(map[string]uint64, len(s.Feeds))
	for name, f := range s.Feeds {
		version, age := f.Report(now)
		state.Revisions[name], state.FeedDigests[name] = version.Revision, version.Digest
		if version.Rewinds > 0 {
			state.FeedRewinds[name] = version.Rewinds
		}
		eras[name] = version.Era
		state.ReadAges[name] = lrpeer.AgeMillis(min(age, maxReadAge))
		state.RestoredEntries = append(state.RestoredEntries, encodeRestored(name, f.RestoredEntries(now))...)
	}
	state.Era, state.FeedEras = encodeEras(eras)
	for _, w := range s.Directory.DesiredAges(now) {
		state.Wanted = append(state.Wanted, &lrpeerpb.WantedNote{
			Model: w.Model, Version: w.Version, AgeMillis: lrpeer.AgeMillis(min(w.Age, maxReadAge)),
		})
	}
	for _, w := range s.weightsUpdates.updates(now) {
		state.Weights = append(state.Weights, &lrpeerpb.WeightsNote{Server: w.Server, Model: w.Model, Version: w.Version})
	}
	state.Notices = encodeNotices(s.Notices.Updates(now, allNotices))
	encodeResponses(state, s.Responses.Report(now))
	state.Quarantine = lrpeer.EncodeQuarantine(s.Quarantine.Updates(now))
	s.KVStores.Updates(now, func(status KVStoreStatus, age time.Duration) {
		state.Kept = append(state.Kept, &lrpeerpb.KeptNote{
			Address: status.Address, Epoch: status.Epoch, IsDown: status.IsDown, AgeMillis: lrpeer.AgeMillis(age),
			ResidencyMillis: uint32(status.Residency.Milliseconds()),
		})
	})
	holdings, next := s.Balancer.Updates(now, sent, isNear)
	state.Holdings = encodeHoldings(holdings)
	state.NextNear, state.NextFar = next.SameZone, next.OtherZones
	return state, next
}

// sumFor returns the totals to send to the peer: those of this instance to the relay of its zone, those of the zone to other zones, and
// those of all other instances to members of the own zone. It must be called with the mutex held.
func (s *Sharer) sumFor(now time.Time, p *peer) totals {
	own := totals{loads: s.Balancer.OwnLoads(), used: s.Limiter.Used(), demand: s.Limiter.Demand(now), rollouts: s.Releases.Gauges(now), reached: 1}
	own.add(totals{loads: s.Balancer.OwnSpeeds(now)})
	relay := s.relayOf(now, s.Self.Zone)
	if p.Zone == s.Self.Zone && relay != nil && relay.Name == p.Name {
		return own
	}
	total := s.members.sum(p.Name)
	total.add(own)
	if p.Zone == s.Self.Zone {
		total.add(s.zones.sum(""))
	}
	lrlimit.KeepLargest(total.demand, func(_ string, d lrlimit.Demand) float64 { return d.Rate })
	return total
}

// rolloutState returns the latest known state of the rollout, without a holder if it is older than unreachableAfter, or nil if nothing is
// known. It must be called with the mutex held.
func (s *Sharer) rolloutState(now time.Time) *lrpeerpb.RolloutState {
	if s.Rollout.IsHolder(now) {
		s.rollout = rolloutUpdate{holder: s.Self.Name, closing: s.Rollout.Closing(), at: now}
	}
	fence := s.Rollout.HighestFence()
	isUnknown := s.rollout.holder == "" || now.Sub(s.rollout.at) > unreachableAfter
	switch {
	case isUnknown && fence == 0:
		return nil
	case isUnknown:
		// The age makes instances that expect a holder take this for the oldest state.
		return &lrpeerpb.RolloutState{AgeMillis: math.MaxUint32, Fence: fence}
	default:
		return &lrpeerpb.RolloutState{
			Holder: s.rollout.holder, Closing: s.rollout.closing, AgeMillis: lrpeer.AgeMillis(now.Sub(s.rollout.at)), Fence: fence,
		}
	}
}

// encodeEras returns the highest era, and the feeds that are of another one. In calm there are none, which keeps messages small.
func encodeEras(eras map[string]uint64) (highest uint64, others map[string]uint64) {
	for _, era := range eras {
		highest = max(highest, era)
	}
	others = map[string]uint64{}
	for feed, era := range eras {
		if era != highest {
			others[feed] = era
		}
	}
	return highest, others
}

// eraOf returns the era of the feed in the state.
func eraOf(state *lrpeerpb.FleetState, feed string) uint64 {
	era, ok := state.GetFeedEras()[feed]
	if ok {
		return era
	}
	return state.GetEra()
}

func encodeDemand(demand map[string]lrlimit.Demand) map[string]*lrpeerpb.AccountDemand {
	encoded := make(map[string]*lrpeerpb.AccountDemand, len(demand))
	for account, d := range demand {
		encoded[account] = &lrpeerpb.AccountDemand{Rate: d.Rate, Squares: d.Squares}
	}
	return encoded
}

// decodeDemand returns the demand in a message. Entries that are no demand are left out.
func decodeDemand(encoded map[string]*lrpeerpb.AccountDemand) map[string]lrlimit.Demand {
	demand := make(map[string]lrlimit.Demand, len(encoded))
	for account, e := range encoded {
		d := lrlimit.Demand{Rate: e.GetRate(), Squares: e.GetSquares()}
		if d.IsValid() {
			demand[account] = d
		}
	}
	return demand
}

func encodeHoldings(holdings []lrbalance.CacheUpdate) []*lrpeerpb.CacheNote {
	byServer := map[string]*lrpeerpb.CacheNote{}
	var entries []*lrpeerpb.CacheNote
	for _, h := range holdings {
		entry, ok := byServer[h.Engine]
		if !ok {
			entry = &lrpeerpb.CacheNote{Server: h.Engine}
			byServer[h.Engine] = entry
			entries = append(entries, entry)
		}
		entry.Keys = append(entry.Keys, uint64(h.Key))
	}
	return entries
}

func decodeHoldings(entries []*lrpeerpb.CacheNote) []lrbalance.CacheUpdate {
	var holdings []lrbalance.CacheUpdate
	for _, n := range entries {
		for _, k := range n.GetKeys() {
			holdings = append(holdings, lrbalance.CacheUpdate{Engine: n.GetServer(), Key: lrbalance.Key(k)})
		}
	}
	return holdings
}

// receive applies the state of another instance. isAnswer says whether it came as the answer to a call of this instance.
func (s *Sharer) receive(now time.Time, state *lrpeerpb.FleetState, isAnswer bool) {
	sum := newTotals()
	sum.used, sum.reached = state.GetUsed(), int(state.GetReached())
	sum.demand = decodeDemand(state.GetDemand())
	sum.uptime = time.Duration(state.GetUptimeMillis()) * time.Millisecond
	for _, l := range state.GetLoads() {
		sum.loads[l.GetServer()] = lrbalance.Load{Waiting: int(l.GetWaitingTokens()), Running: int(l.GetRunning()), Held: int(l.GetHeldTokens())}.
			WithSlowness(int(l.GetSlownessSum()), int(l.GetSlownessWeight()))
	}
	news, gauges := decodeRollouts(state.GetServiceRollouts())
	sum.rollouts = gauges
	hasLevels := s.recordState(now, state, sum, isAnswer)
	s.recordRestored(now, state.GetRestoredEntries())
	s.Releases.Merge(now, news)
	if hasLevels {
		s.Limiter.SetStartupShare(now, 1, false)
		s.Limiter.ApplyLevels(now, state.GetLevels())
	}
	for _, w := range state.GetWanted() {
		s.Directory.RecordDesiredAge(now, DesiredAge{
			DesiredVersion: DesiredVersion{Model: w.GetModel(), Version: w.GetVersion()}, Age: time.Duration(w.GetAgeMillis()) * time.Millisecond,
		})
	}
	for _, w := range state.GetWeights() {
		s.weightsUpdates.add(now, WeightsUpdate{Server: w.GetServer(), Model: w.GetModel(), Version: w.GetVersion()})
		s.Directory.RecordVersion(w.GetServer(), w.GetModel(), w.GetVersion())
	}
	s.mergeNotices(now, state.GetNotices())
	s.Responses.Merge(now, decodeResponses(state))
	s.Quarantine.Merge(now, lrpeer.DecodeQuarantine(state.GetQuarantine()))
	for _, k := range state.GetKept() {
		status := KVStoreStatus{
			Address: k.GetAddress(), Epoch: k.GetEpoch(), IsDown: k.GetIsDown(),
			Residency: time.Duration(k.GetResidencyMillis()) * time.Millisecond,
		}
		s.KVStores.Merge(now, status, time.Duration(k.GetAgeMillis())*time.Millisecond)
	}
	s.Balancer.Merge(now, decodeHoldings(state.GetHoldings()), state.GetZone() != s.Self.Zone)
}

// recordState stores the totals by the role of their sender. It reports whether the state holds levels that are to be applied.
func (s *Sharer) recordState(now time.Time, state *lrpeerpb.FleetState, sum totals, isAnswer bool) (hasLevels bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.peerOf(state)
	p.receivedAt, p.receivedProcess = now, state.GetProcess()
	p.received = lrbalance.Cursors{SameZone: state.GetNextNear(), OtherZones: state.GetNextFar()}
	switch {
	case state.GetZone() != s.Self.Zone:
		s.zones.set(now, state.GetZone(), state.GetProcess(), sum)
		s.silent[state.GetZone()] = state.GetSilentInstances()
	case isAnswer:
		s.relayReport = report{totals: sum, process: state.GetProcess(), at: now}
		s.relayUnreachableZones = state.GetSilentZones()
		s.relaySilent = state.GetSilentInstances()
	default:
		s.reportedAt = now
		s.members.set(now, state.GetName(), state.GetProcess(), sum)
	}
	s.recordRollout(now, state.GetRollout())
	s.recordEvidence(state, isAnswer)
	s.recordReports(now, state)
	hasLevels = s.wantsLevels && len(state.GetLevels()) > 0
	if hasLevels {
		s.wantsLevels = false
	}
	return hasLevels
}

// peerOf returns the sender of the state. A sender that the list does not name yet is added, because it may be the only instance from
// which the newer list can be read. It must be called with the mutex held.
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

// recordRollout keeps the newest state of the rollout. It must be called with the mutex held.
func (s *Sharer) recordRollout(now time.Time, received *lrpeerpb.RolloutState) {
	if received == nil {
		return
	}
	s.Rollout.RecordFence(received.GetFence())
	if received.GetHolder() == "" || received.GetHolder() == s.Self.Name {
		return
	}
	at := now.Add(-time.Duration(received.GetAgeMillis()) * time.Millisecond)
	if at.After(s.rollout.at) {
		s.rollout = rolloutUpdate{holder: received.GetHolder(), closing: received.GetClosing(), at: at}
	}
}
