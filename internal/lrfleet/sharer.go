package lrfleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	// SharePeriod is the time between two reports of an instance to the relay of its zone, in zones of up to membersPerPeriod instances.
	SharePeriod = 80 * time.Millisecond
	// membersPerPeriod is the number of instances in a zone up to which SharePeriod applies. The period grows in proportion above it, so
	// that the load of the relay does not.
	membersPerPeriod = 10
	// crossZoneSharePeriod is the time between two exchanges of relays. It is longer than SharePeriod because their traffic crosses a
	// zone boundary.
	crossZoneSharePeriod = 120 * time.Millisecond
	// shareTimeout bounds one exchange.
	shareTimeout = 300 * time.Millisecond
	// unreachableAfter is the time without messages after which an instance counts as unreachable.
	unreachableAfter = lrlimit.ReportHorizon
	// relayRetryDelay is how long an instance that did not answer is passed over as relay.
	relayRetryDelay = 800 * time.Millisecond
	// relayRoleDuration is how long an instance acts as relay after another one has reported to it.
	relayRoleDuration = 600 * time.Millisecond
	// zoneUnreachableAfter is the time without messages from the relays of an availability zone after which the zone is taken to be
	// partitioned.
	zoneUnreachableAfter = 450 * time.Millisecond
	// gossipFor is how long an update is passed on, and rememberFor how long it is known, so that it is not applied again.
	gossipFor   = 1500 * time.Millisecond
	rememberFor = 6 * time.Second
)

// Rollout is what the Sharer needs to know of the change of weights that this instance may run.
type Rollout interface {
	// IsHolder reports whether this instance sends the orders to engines.
	IsHolder(now time.Time) bool
	// Closing returns the servers to which this instance is about to send an order.
	Closing() []string
	// HighestFence returns the highest fencing number that this instance knows of, and RecordFence records one that another knows of.
	HighestFence() uint64
	RecordFence(fence uint64)
}

// A WeightsUpdate is an update that says that a server has loaded new weights.
type WeightsUpdate struct {
	Server  string
	Model   string
	Version int64
}

// SharerDependencies are the collaborators of a Sharer.
type SharerDependencies struct {
	Self       Instance
	Directory  *Directory
	Balancer   *lrbalance.Balancer
	Limiter    *lrlimit.SharedLimiter
	Quarantine *lrquarantine.Tracker
	Notices    *lrnotice.Board
	// Responses holds which backend servers have stopped responding.
	Responses *lrretry.ResponseMonitor
	KVStores  *KVStoreWatch
	Rollout   Rollout
	Releases  *lrcanary.Board
	Pool      *lrpeer.Pool
	Feeds     map[string]SharedFeed
	// Go runs work in its own goroutine, beside the supervised loops.
	Go    func(name string, work func())
	Clock func() time.Time
	Log   zerolog.Logger
}

// A Sharer exchanges state with the other instances. It is safe for use by several goroutines.
type Sharer struct {
	lrpeerpb.UnimplementedFleetServer
	SharerDependencies
	weightsUpdates *gossip[WeightsUpdate]

	mutex sync.Mutex
	peers map[string]*peer
	// members holds the reports of instances of the own zone, zones those of the relays of other zones.
	members *reportSet
	zones   *reportSet
	// memberEvidence, zoneEvidence and relayEvidence are the same for the evidence on new releases of services.
	memberEvidence *evidenceSet
	zoneEvidence   *evidenceSet
	relayEvidence  evidenceReport
	// relayReport holds the totals over all other instances, as the relay of the own zone reports them.
	relayReport report
	// relayUnreachableZones are the zones from which the relay of the own zone receives nothing.
	relayUnreachableZones []string
	// silent holds the instances of each other zone from which its relay receives nothing, relaySilent those of all zones as the relay of
	// the own zone reports them.
	silent      map[string][]string
	relaySilent []string
	// relaySince is when this instance has become the relay of its zone. It is zero while another one is.
	relaySince time.Time
	// reportedAt is when another instance of the zone last reported to this one.
	reportedAt  time.Time
	startedAt   time.Time
	wantsLevels bool
	// hasStarted is set once the others have been asked for long enough to know which are unreachable.
	hasStarted bool
	rollout    rolloutUpdate
	lags       map[string]lag
	fetching   bool
}

// rolloutUpdate is the latest known state of the holder of the rollout.
type rolloutUpdate struct {
	holder  string
	closing []string
	at      time.Time
}

// peer is another instance.
type peer struct {
	Instance
	calledAt time.Time
	// receivedAt is when the peer last answered or reported.
	receivedAt time.Time
	failedAt   time.Time
	calling    bool
	// sent is the position up to which the peer has received the cache updates of this instance, and received the position up to which
	// this instance has received those of the peer.
	sent     lrbalance.Cursors
	received lrbalance.Cursors
	// receivedProcess is the process from which the last message came, to whose updates the cursors refer. The list may still name
	// another one.
	receivedProcess string
	// noticesAt is when the peer was last sent all notices of backend servers.
	noticesAt time.Time
	// evidenceAt is when the peer was last sent the evidence on new releases.
	evidenceAt time.Time
}

// NewSharer returns a Sharer that knows no other instance. With wantsLevels it asks the others for the levels of allowances.
func NewSharer(dependencies SharerDependencies, wantsLevels bool) *Sharer {
	return &Sharer{
		SharerDependencies: dependencies, weightsUpdates: newGossip[WeightsUpdate](gossipFor, rememberFor), peers: map[string]*peer{},
		members: newReportSet(), zones: newReportSet(), startedAt: dependencies.Clock(), wantsLevels: wantsLevels, lags: map[string]lag{},
		silent: map[string][]string{}, memberEvidence: newEvidenceSet(), zoneEvidence: newEvidenceSet(),
	}
}

// SetInstances applies the list of instances in the platform. An instance that is not listed is kept as long as messages from it arrive.
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
			s.Log.Info().Str("peer", name).Str("zone", i.Zone).Str("address", i.PeerAddress).Msg("fleet: instance listed")
		}
		p.Instance = i
	}
	for name, p := range s.peers {
		if _, ok := listed[name]; !ok && now.Sub(p.receivedAt) > unreachableAfter {
			delete(s.peers, name)
		}
	}
}

// PropagationDelay returns how long an update takes from one instance to any other: to the relay of its zone, on to the relay of another zone,
// and to an instance there.
func (s *Sharer) PropagationDelay() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.propagationDelay()
}

// propagationDelay must be called with the mutex held.
func (s *Sharer) propagationDelay() time.Duration { return 2*s.period() + crossZoneSharePeriod }

// levelsTimeout is how long an instance that has just started waits until others send the levels of allowances.
const levelsTimeout = 300 * time.Millisecond

// KnowsLevels reports whether the levels of allowances are known, or the wait for them has timed out.
func (s *Sharer) KnowsLevels(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.wantsLevels || now.Sub(s.startedAt) > levelsTimeout
}

// ReportWeights sends the update that a server has loaded new weights to all instances.
func (s *Sharer) ReportWeights(now time.Time, update WeightsUpdate) {
	s.weightsUpdates.add(now, update)
}

// Reached returns the number of reachable instances, this one included.
func (s *Sharer) Reached(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.others(now).reached + 1
}

// HasOtherHolder reports whether another instance is known to have been the holder of the rollout within unreachableAfter.
func (s *Sharer) HasOtherHolder(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rollout.holder != "" && s.rollout.holder != s.Self.Name && now.Sub(s.rollout.at) < unreachableAfter
}

// others returns the totals over all other reachable instances. It must be called with the mutex held.
func (s *Sharer) others(now time.Time) totals {
	if s.relayOf(now, s.Self.Zone) != nil {
		if now.Sub(s.relayReport.at) > unreachableAfter {
			return newTotals()
		}
		return s.relayReport.totals
	}
	total := s.members.sum("")
	total.add(s.zones.sum(""))
	return total
}

// Step starts the exchanges that are due, applies the received reports and fetches feeds that lag behind.
func (s *Sharer) Step(ctx context.Context, now time.Time) {
	for _, p := range s.due(now) {
		s.Go("exchange", func() { s.exchange(ctx, p) })
	}
	s.applyReports(now)
	s.catchUp(ctx, now)
}

// due marks and returns the instances to call now: the relay of the own zone and, on a relay, those of the other zones.
func (s *Sharer) due(now time.Time) []*peer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var due []*peer
	add := func(p *peer, period time.Duration) {
		if p != nil && !p.calling && now.Sub(p.calledAt) >= period {
			p.calling, p.calledAt = true, now
			due = append(due, p)
		}
	}
	add(s.relayOf(now, s.Self.Zone), s.period())
	if !s.isRelay(now) {
		return due
	}
	for _, zone := range s.otherZones() {
		add(s.relayOf(now, zone), crossZoneSharePeriod)
	}
	return due
}

// period returns the time between two reports to the relay. It must be called with the mutex held.
func (s *Sharer) period() time.Duration {
	members := 1
	for _, p := range s.peers {
		if p.Zone == s.Self.Zone {
			members++
		}
	}
	return SharePeriod * time.Duration(max(members, membersPerPeriod)) / membersPerPeriod
}

// applyReports updates the balancer, the limiter and the directory with the reports of the other instances.
func (s *Sharer) applyReports(now time.Time) {
	s.mutex.Lock()
	s.members.expire(now, unreachableAfter)
	s.zones.expire(now, unreachableAfter)
	others := s.others(now)
	allowanceShare, start := s.allowanceShare(now, others)
	delay := s.propagationDelay()
	source := "own"
	if s.relayOf(now, s.Self.Zone) != nil {
		source = s.relayReport.process
	}
	s.updateRelayRole(now)
	hasLimits := s.Notices.HasLimits()
	var fleet lrnotice.Fleet
	if hasLimits {
		fleet = s.noticeFleet(now)
	}
	closing := s.Rollout.Closing()
	if s.rollout.holder != s.Self.Name && now.Sub(s.rollout.at) < unreachableAfter {
		closing = append(closing, s.rollout.closing...)
	}
	s.mutex.Unlock()
	s.Balancer.SetOtherLoads(others.loads)
	if others.reached > 0 {
		s.Limiter.ApplyUsage(now, source, others.used)
	} else {
		s.Limiter.ResetUsage()
	}
	s.applyShare(now, allowanceShare, start)
	s.Limiter.ApplyDemand(now, others.reached+1, delay, others.demand)
	if hasLimits {
		s.Notices.SetFleet(fleet)
	}
	s.Directory.SetClosing(closing)
	s.applyReleases(now, others)
}
