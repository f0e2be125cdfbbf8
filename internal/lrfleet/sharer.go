package lrfleet

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	// SharePeriod is the time between two exchanges of an instance with the relay of its zone, in small zones.
	SharePeriod = 80 * time.Millisecond
	// membersPerPeriod is the number of instances in a zone up to which SharePeriod holds. It grows with further ones,
	// so that the work of the relay does not.
	membersPerPeriod = 10
	// farSharePeriod is the time between two exchanges of relays, whose bytes cross the border of a zone.
	farSharePeriod = 120 * time.Millisecond
	// shareTimeout bounds one exchange.
	shareTimeout = 300 * time.Millisecond
	// reachableFor is the silence after which instances count as out of reach.
	reachableFor = 900 * time.Millisecond
	// relayPause is how long an instance that did not answer is passed over as relay.
	relayPause = 800 * time.Millisecond
	// relayFor is how long an instance acts as relay after another one has reported to it.
	relayFor = 600 * time.Millisecond
	// silentAfter is the silence of the relays of an availability zone after which it seems to be cut off.
	silentAfter = 450 * time.Millisecond
	// tellFor is how long notes are passed on, and keepFor how long they are known.
	tellFor = 1500 * time.Millisecond
	keepFor = 6 * time.Second
)

// Rollout is what the sharer tells of the change of weights.
type Rollout interface {
	// IsHolder reports whether this instance gives the orders.
	IsHolder(now time.Time) bool
	// Closing returns the servers that this instance is about to give orders to.
	Closing() []string
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
	Kept      *KeptWatch
	Rollout   Rollout
	Pool      *lrpeer.Pool
	Feeds     map[string]Relayed
	// Go runs work beside the duty.
	Go    func(name string, work func())
	Clock func() time.Time
	Log   zerolog.Logger
}

// A Sharer exchanges state with the other instances. It is safe for use by several goroutines.
type Sharer struct {
	lrpeerpb.UnimplementedFleetServer
	SharerParts
	weights *spread[WeightsNote]

	mutex sync.Mutex
	peers map[string]*peer
	// members are the reports of instances of the own zone, zones those of the relays of other zones.
	members *tallies
	zones   *tallies
	// above is what the relay of the own zone tells of all other instances.
	above report
	// aboveSilent are the zones that the relay does not hear.
	aboveSilent []string
	// reportedAt is when another instance last reported to this one.
	reportedAt  time.Time
	startedAt   time.Time
	wantsLevels bool
	// hasStarted tells that the others have been asked for long enough.
	hasStarted bool
	rollout    rolloutNews
	behind     map[string]lag
	fetching   bool
}

// rolloutNews is what was last heard of the holder of the rollout.
type rolloutNews struct {
	holder  string
	closing []string
	at      time.Time
}

// peer is another instance.
type peer struct {
	Instance
	calledAt time.Time
	// heardAt is when it last answered or reported.
	heardAt  time.Time
	failedAt time.Time
	calling  bool
	// sent tells up to where the peer has heard the own news, and heard up to where the peer's were heard.
	sent  lrbalance.Cursors
	heard lrbalance.Cursors
	// heardProcess is the process that was heard last, whose news the cursors count. The list may still name another one.
	heardProcess string
}

// NewSharer returns a Sharer that knows no other instance.
func NewSharer(parts SharerParts, wantsLevels bool) *Sharer {
	return &Sharer{
		SharerParts: parts, weights: newSpread[WeightsNote](tellFor, keepFor), peers: map[string]*peer{},
		members: newTallies(), zones: newTallies(), startedAt: parts.Clock(), wantsLevels: wantsLevels, behind: map[string]lag{},
	}
}

// SetInstances takes in the instances that the platform lists. Others stay known while they are heard.
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
		if _, ok := listed[name]; !ok && now.Sub(p.heardAt) > reachableFor {
			delete(s.peers, name)
		}
	}
}

// Instances returns how many instances are listed, this one included.
func (s *Sharer) Instances() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.peers) + 1
}

// Rank returns how many other instances go before this one where one is enough. Those of availability zones that are cut off do
// not count.
func (s *Sharer) Rank(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	silent := s.silentZones(now)
	rank := 0
	for _, p := range s.peers {
		if precedes(p.Instance, s.Self) && !slices.Contains(silent, p.Zone) {
			rank++
		}
	}
	return rank
}

// IsFirstOfZone reports whether no other instance of the availability zone goes before this one.
func (s *Sharer) IsFirstOfZone() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.peers {
		if p.Zone == s.Self.Zone && precedes(p.Instance, s.Self) {
			return false
		}
	}
	return true
}

// IsOwner reports whether this instance reads the cache of the server of the availability zone for all. Those of the zone share its
// servers by hash; where there are none, all do.
func (s *Sharer) IsOwner(server, zone string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hasNear := s.Self.Zone == zone || slices.Contains(s.otherZones(), zone)
	if hasNear && s.Self.Zone != zone {
		return false
	}
	own := lrhash.Pair(server, s.Self.Name)
	for _, p := range s.peers {
		if (!hasNear || p.Zone == zone) && lrhash.Pair(server, p.Name) > own {
			return false
		}
	}
	return true
}

// NewsDelay returns how long news take from any instance to any other one: to the relay of its zone, on to that of another
// zone, and to the instance there.
func (s *Sharer) NewsDelay() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return 2*s.period() + farSharePeriod
}

// levelsFor is how long an instance that has just started waits for others to tell the levels of allowances.
const levelsFor = 300 * time.Millisecond

// KnowsLevels reports whether the levels of allowances are known, or nobody can tell them.
func (s *Sharer) KnowsLevels(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.wantsLevels || now.Sub(s.startedAt) > levelsFor
}

// TellWeights spreads that a server has taken new weights.
func (s *Sharer) TellWeights(now time.Time, note WeightsNote) { s.weights.add(now, note) }

// Reached returns how many instances are within reach, this one included.
func (s *Sharer) Reached(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.others(now).reached + 1
}

// HolderHeard reports whether another instance that gives orders to engines has been heard of late.
func (s *Sharer) HolderHeard(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rollout.holder != "" && s.rollout.holder != s.Self.Name && now.Sub(s.rollout.at) < reachableFor
}

// SilentZones returns the availability zones of which nothing is heard.
func (s *Sharer) SilentZones(now time.Time) map[string]bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	silent := map[string]bool{}
	for _, zone := range s.silentZones(now) {
		silent[zone] = true
	}
	return silent
}

// silentZones must be called with the mutex held.
func (s *Sharer) silentZones(now time.Time) []string {
	if now.Sub(s.startedAt) < reachableFor {
		return nil
	}
	if !s.isRelay(now) {
		return s.aboveSilent
	}
	var silent []string
	for _, zone := range s.otherZones() {
		if now.Sub(s.zones.reports[zone].at) > silentAfter {
			silent = append(silent, zone)
		}
	}
	return silent
}

// otherZones must be called with the mutex held.
func (s *Sharer) otherZones() []string {
	var zones []string
	for _, p := range s.peers {
		if p.Zone != s.Self.Zone && !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// relayOf returns the instance of the zone that is reported to: the strongest one that answers. It is nil where that is
// this instance. It must be called with the mutex held.
func (s *Sharer) relayOf(now time.Time, zone string) *peer {
	var best, unheard *peer
	for _, p := range s.peers {
		if p.Zone != zone {
			continue
		}
		if now.Sub(p.failedAt) < relayPause && p.heardAt.Before(p.failedAt) {
			unheard = firstOf(unheard, p)
			continue
		}
		best = firstOf(best, p)
	}
	if zone != s.Self.Zone {
		if best == nil {
			return unheard
		}
		return best
	}
	if best == nil || precedes(s.Self, best.Instance) {
		return nil
	}
	return best
}

func firstOf(a, b *peer) *peer {
	if a == nil || precedes(b.Instance, a.Instance) {
		return b
	}
	return a
}

// precedes reports whether the first instance is rather the relay than the second one.
func precedes(a, b Instance) bool {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), strings.Compare(a.Name, b.Name)) < 0
}

// isRelay reports whether this instance speaks for its zone. It must be called with the mutex held.
func (s *Sharer) isRelay(now time.Time) bool {
	return s.relayOf(now, s.Self.Zone) == nil || now.Sub(s.reportedAt) < relayFor
}

// others returns the sum over all other instances. It must be called with the mutex held.
func (s *Sharer) others(now time.Time) tally {
	if s.relayOf(now, s.Self.Zone) != nil {
		if now.Sub(s.above.at) > reachableFor {
			return newTally()
		}
		return s.above.tally
	}
	total := s.members.sum("")
	total.add(s.zones.sum(""))
	return total
}

// Step begins the exchanges that are due and draws the conclusions from what was heard.
func (s *Sharer) Step(ctx context.Context, now time.Time) {
	for _, p := range s.due(now) {
		s.Go("exchange", func() { s.exchange(ctx, p) })
	}
	s.conclude(now)
	s.catchUp(ctx, now)
}

// due returns the instances to call now: the relay of the own zone, or those of the other zones.
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
		add(s.relayOf(now, zone), farSharePeriod)
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

// conclude brings balancer, limiter and directory to what was heard of the other instances.
func (s *Sharer) conclude(now time.Time) {
	s.mutex.Lock()
	s.members.expire(now, reachableFor)
	s.zones.expire(now, reachableFor)
	others := s.others(now)
	share, start := s.share(now, others)
	source := "own"
	if s.relayOf(now, s.Self.Zone) != nil {
		source = s.above.process
	}
	closing := s.Rollout.Closing()
	if s.rollout.holder != s.Self.Name && now.Sub(s.rollout.at) < reachableFor {
		closing = append(closing, s.rollout.closing...)
	}
	s.mutex.Unlock()
	s.Balancer.SetOthers(others.loads)
	if others.reached > 0 {
		s.Limiter.Heard(now, source, others.used)
	} else {
		s.Limiter.Lost()
	}
	s.setShare(now, share, start)
	s.Directory.SetClosing(closing)
}
