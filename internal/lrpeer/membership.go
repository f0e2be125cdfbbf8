package lrpeer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

const (
	suspectIntervals = 8
	deadRetention    = 10 * time.Minute
	syncIntervals    = 4
	// pauseIntervals is the number of intervals without a round after which the process is considered to have been paused.
	pauseIntervals = 4
	// reconnectIntervals is the number of rounds between two attempts to reach an instance that is not a live member.
	reconnectIntervals = 4
	// urgentDelay is the minimum time between two urgent rounds. Updates that arrive meanwhile are sent together.
	urgentDelay = 50 * time.Millisecond
	maxUpdates  = 32
	maxLeaving  = 4096
	// urgentRounds is the number of urgent rounds after a new list of instances or a report of a leaving backend server.
	urgentRounds = 5
	// leaveRounds is the number of rounds in which a leaving instance announces that it leaves.
	leaveRounds = 3
)

// Options configure a Membership.
type Options struct {
	// Interval is the time between two rounds of heartbeats.
	Interval time.Duration
	// Fanout is the number of partners to which updates are sent in one round.
	Fanout int
	// Seeds are peer addresses that are contacted, like listed instances, while they are not live members.
	Seeds []string
	// Clock returns the current time.
	Clock func() time.Time
	// Random selects partners.
	Random *rand.Rand
	Log    zerolog.Logger
}

// A Membership maintains the live members by gossip between the instances.
type Membership struct {
	exchanger      Exchanger
	options        Options
	roundRequested chan struct{}

	mutex         sync.Mutex
	table         *lrmember.Table
	schedule      *lrmember.Schedule
	listed        []string
	rounds        int
	roundAt       time.Time
	serverUpdates ServerUpdates
	instanceList  *InstanceList
	// leaving is the set of backend servers that are known to be leaving.
	leaving map[leavingServer]struct{}
	// urgentRoundsLeft is the number of urgent rounds that are still to run.
	urgentRoundsLeft int
	peerListeners    []func(now time.Time, peer Member)
}

// NewMembership returns a Membership whose only member is this instance.
func NewMembership(self Member, exchanger Exchanger, options Options) *Membership {
	self.Heartbeat = 1
	return &Membership{
		exchanger: exchanger, options: options, roundRequested: make(chan struct{}, 1),
		leaving: map[leavingServer]struct{}{},
		table: lrmember.NewTable(self, lrmember.Options{
			SuspectTimeout: suspectIntervals * options.Interval, DeadRetention: deadRetention,
			SyncInterval: syncIntervals * options.Interval,
		}),
		schedule: lrmember.NewSchedule(options.Random),
	}
}

// SetServerUpdates sets the source and consumer of the backend server updates that heartbeats carry. It must be called before
// the membership runs.
func (m *Membership) SetServerUpdates(serverUpdates ServerUpdates) { m.serverUpdates = serverUpdates }

// SetInstanceList makes heartbeats carry the digest and age of the list of instances. It must be called before the membership runs.
func (m *Membership) SetInstanceList(instanceList *InstanceList) { m.instanceList = instanceList }

// OnPeer registers a listener that is called after each direct exchange with a peer. It must be called before the
// membership runs.
func (m *Membership) OnPeer(listener func(now time.Time, peer Member)) {
	m.peerListeners = append(m.peerListeners, listener)
}

// Self returns this instance.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Self()
}

// Members returns the live members, ordered by name.
func (m *Membership) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Members()
}

// SetConfigVersion sets the configuration version that heartbeats carry.
func (m *Membership) SetConfigVersion(version uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.SetConfigVersion(version)
}

// SetListed applies the platform's list of instances: listed instances are contacted, and those listed as leaving are
// marked as leaving. It starts urgent rounds that announce the new list.
func (m *Membership) SetListed(instances []lrplatform.Instance) {
	var listed []string
	leaving := map[string]string{}
	for _, i := range instances {
		if i.Role != lrplatform.RoleRouter {
			continue
		}
		listed = append(listed, i.PeerAddress)
		if i.Leaving {
			leaving[i.Name] = i.PeerAddress
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listed = listed
	m.table.SetListedLeaving(leaving)
	m.urgentRoundsLeft = urgentRounds
	m.RequestRound()
}

// Run exchanges heartbeats at each interval, and sooner when there are urgent updates, until the context ends. It is a
// supervised duty.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.options.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.Round(ctx, m.options.Clock())
		select {
		case <-ticker.C:
		case <-m.roundRequested:
			m.awaitMoreUpdates(ctx)
			m.urgentRound(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// RequestRound requests an urgent round, which starts after urgentDelay instead of the interval.
func (m *Membership) RequestRound() {
	select {
	case m.roundRequested <- struct{}{}:
	default:
	}
}

// Round probes one member, sends updates to a few more and at times tries to reach an instance that is not a live member.
func (m *Membership) Round(ctx context.Context, now time.Time) {
	m.mutex.Lock()
	if m.rounds > 0 && now.Sub(m.roundAt) > pauseIntervals*m.options.Interval {
		m.table.Resume(now)
	}
	m.roundAt = now
	m.table.Expire(now)
	m.rounds++
	members := m.table.Members()
	probe, ok := m.schedule.NextProbe(m.table.Self(), members)
	partners := m.partners(members)
	nonMembers := m.nonMembers(members)
	m.mutex.Unlock()
	if ok {
		partners = append(partners, probe)
	}
	m.exchangeAll(ctx, append(partners, membersAt(nonMembers)...))
}

// membersAt returns members with only the address set.
func membersAt(addresses []string) []Member {
	members := make([]Member, 0, len(addresses))
	for _, a := range addresses {
		members = append(members, Member{PeerAddress: a})
	}
	return members
}

// awaitMoreUpdates waits for urgentDelay, so that updates that arrive together are sent together.
func (m *Membership) awaitMoreUpdates(ctx context.Context) {
	timer := time.NewTimer(urgentDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// urgentRound sends updates to a few members.
func (m *Membership) urgentRound(ctx context.Context) {
	m.mutex.Lock()
	members := m.table.Members()
	partners := m.partners(members)
	if len(members) == 1 {
		partners = membersAt(m.nonMembers(members))
	}
	m.urgentRoundsLeft = max(0, m.urgentRoundsLeft-1)
	again := m.urgentRoundsLeft > 0
	m.mutex.Unlock()
	if again {
		m.RequestRound()
	}
	m.exchangeAll(ctx, partners)
}

// Leave announces to other instances that this one is leaving.
func (m *Membership) Leave(ctx context.Context) {
	m.mutex.Lock()
	m.table.Leave()
	m.mutex.Unlock()
	for range leaveRounds {
		m.mutex.Lock()
		partners := m.schedule.GossipTargets(m.table.Self(), m.table.Members(), m.options.Fanout)
		m.mutex.Unlock()
		m.exchangeAll(ctx, partners)
	}
}

func (m *Membership) partners(members []Member) []Member {
	if !m.table.HasUpdates() && m.urgentRoundsLeft == 0 {
		return nil
	}
	return m.schedule.GossipTargets(m.table.Self(), members, m.options.Fanout)
}

// nonMembers returns the address of a random instance that is not a live member, once in reconnectIntervals rounds. While
// no other member is known it returns up to Fanout addresses in each round.
func (m *Membership) nonMembers(members []Member) []string {
	alone := len(members) == 1
	if !alone && m.rounds%reconnectIntervals != 0 {
		return nil
	}
	known := map[string]bool{}
	for _, k := range members {
		known[k.PeerAddress] = true
	}
	var nonMembers []string
	for _, address := range m.candidates() {
		if !known[address] {
			known[address] = true
			nonMembers = append(nonMembers, address)
		}
	}
	m.options.Random.Shuffle(len(nonMembers), func(i, j int) { nonMembers[i], nonMembers[j] = nonMembers[j], nonMembers[i] })
	if alone {
		return nonMembers[:min(len(nonMembers), m.options.Fanout)]
	}
	return nonMembers[:min(len(nonMembers), 1)]
}

func (m *Membership) candidates() []string {
	candidates := append([]string{}, m.listed...)
	candidates = append(candidates, m.options.Seeds...)
	for _, dead := range m.table.DeadMembers() {
		candidates = append(candidates, dead.PeerAddress)
	}
	return candidates
}

func (m *Membership) exchangeAll(ctx context.Context, partners []Member) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Interval)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range partners {
		group.Go(func() { m.exchange(ctx, p) })
	}
	group.Wait()
}

func (m *Membership) exchange(ctx context.Context, partner Member) {
	now := m.options.Clock()
	m.mutex.Lock()
	request := m.table.Request(partner.Name)
	m.mutex.Unlock()
	encoded := encodeRequest(request, m.updates(now))
	encoded.List = m.listState(now)
	reply, err := m.exchanger.Exchange(ctx, partner.PeerAddress, encoded)
	now = m.options.Clock()
	if err != nil {
		m.markFailed(now, partner)
		return
	}
	message := decodeReply(reply)
	m.applyUpdates(now, reply.GetServers())
	m.applyListState(now, message.Sender, reply.GetList())
	m.mutex.Lock()
	if partner.Name != "" && partner.Name != message.Sender.Name {
		m.table.ProbeFailed(now, partner.Name, partner.Incarnation)
	}
	m.table.ApplyReply(now, message)
	m.mutex.Unlock()
	m.notifyPeerListeners(now, message.Sender)
}

func (m *Membership) markFailed(now time.Time, partner Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.ProbeFailed(now, partner.Name, partner.Incarnation)
}

func (m *Membership) notifyPeerListeners(now time.Time, peer Member) {
	for _, l := range m.peerListeners {
		l(now, peer)
	}
}

// Exchange handles a membership message from another instance.
func (m *Membership) Exchange(_ context.Context, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error) {
	now := m.options.Clock()
	message := decodeRequest(request)
	m.applyUpdates(now, request.GetServers())
	m.mutex.Lock()
	before := m.table.Changes()
	answer := m.table.HandleRequest(now, message)
	learned := m.table.Changes() != before
	m.mutex.Unlock()
	if learned {
		m.RequestRound()
	}
	m.applyListState(now, message.Sender, request.GetList())
	m.notifyPeerListeners(now, message.Sender)
	reply := encodeReply(answer, m.updates(now))
	reply.List = m.listState(now)
	return reply, nil
}
