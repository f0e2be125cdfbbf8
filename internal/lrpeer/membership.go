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
	// pauseIntervals is the number of intervals without a round after which the process counts as paused.
	pauseIntervals = 4
	// healIntervals is the number of heartbeats between two attempts to reach an instance that is not a live member.
	healIntervals = 4
	// urgentDelay is the least time between two rounds that are started by news.
	urgentDelay = 50 * time.Millisecond
	maxNotices  = 32
	maxLeaving  = 4096
	// leavingRounds is the number of urgent rounds in which a leaving backend server is told of.
	leavingRounds = 3
	// leaveRounds is the number of rounds in which a leaving instance tells others.
	leaveRounds = 3
)

// Options say how a Membership spreads news.
type Options struct {
	Interval time.Duration
	Fanout   int
	Seeds    []string
	// Clock returns the present time.
	Clock func() time.Time
	// Random chooses partners.
	Random *rand.Rand
	Log    zerolog.Logger
}

// A Membership is a Roster that the instances keep among themselves.
type Membership struct {
	exchanger Exchanger
	options   Options
	wake      chan struct{}

	mutex    sync.Mutex
	table    *lrmember.Table
	schedule *lrmember.Schedule
	listed   []string
	rounds   int
	roundAt  time.Time
	board    ServerBoard
	listing  *Listing
	// leaving are the backend servers that are known to be leaving.
	leaving map[leavingServer]struct{}
	// noticeRounds is the number of urgent rounds that notices are still told in.
	noticeRounds int
	onPeer       []func(now time.Time, peer Member)
}

// NewMembership returns a Membership that knows of the own instance only.
func NewMembership(self Member, exchanger Exchanger, options Options) *Membership {
	self.Heartbeat = 1
	return &Membership{
		exchanger: exchanger, options: options, wake: make(chan struct{}, 1),
		leaving: map[leavingServer]struct{}{},
		table: lrmember.NewTable(self, lrmember.Options{
			SuspectTimeout: suspectIntervals * options.Interval, DeadRetention: deadRetention,
			SyncInterval: syncIntervals * options.Interval,
		}),
		schedule: lrmember.NewSchedule(options.Random),
	}
}

// SetBoard makes heartbeats carry the notices of the board. It must be called before the membership runs.
func (m *Membership) SetBoard(board ServerBoard) { m.board = board }

// SetListing makes heartbeats tell of the list of instances. It must be called before the membership runs.
func (m *Membership) SetListing(listing *Listing) { m.listing = listing }

// OnPeer makes the membership call the listener after each direct contact with a peer. It must be called before the
// membership runs.
func (m *Membership) OnPeer(listener func(now time.Time, peer Member)) {
	m.onPeer = append(m.onPeer, listener)
}

// Self returns the member that this process is.
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

// SetConfigVersion makes heartbeats carry the version of the configuration.
func (m *Membership) SetConfigVersion(version uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.SetConfigVersion(version)
}

// SetListed takes in the platform's list: instances on it are tried, and those that it lists as leaving are leaving.
// It starts rounds that tell others of the new list at once.
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
	m.noticeRounds = leavingRounds
	m.Spread()
}

// Run exchanges news at each interval, and sooner when there is urgent news. It is a duty of the supervisor.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.options.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.Round(ctx, m.options.Clock())
		select {
		case <-ticker.C:
		case <-m.wake:
			m.awaitMoreNews(ctx)
			m.spread(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// Spread makes the next round start at once.
func (m *Membership) Spread() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Round probes one member, tells news to a few more and tries to reach one instance that is not a live member.
func (m *Membership) Round(ctx context.Context, now time.Time) {
	m.mutex.Lock()
	if m.rounds > 0 && now.Sub(m.roundAt) > pauseIntervals*m.options.Interval {
		m.table.Resume(now)
	}
	m.roundAt = now
	m.table.Expire(now)
	m.rounds++
	members := m.table.Members()
	probe, ok := m.schedule.Probe(m.table.Self(), members)
	partners := m.partners(members)
	strangers := m.strangers(members)
	m.mutex.Unlock()
	if ok {
		partners = append(partners, probe)
	}
	m.exchangeAll(ctx, append(partners, unknown(strangers)...))
}

// unknown returns members of which only the addresses are known.
func unknown(addresses []string) []Member {
	members := make([]Member, 0, len(addresses))
	for _, a := range addresses {
		members = append(members, Member{PeerAddress: a})
	}
	return members
}

// awaitMoreNews waits a moment, so that news that arrive together are told together.
func (m *Membership) awaitMoreNews(ctx context.Context) {
	timer := time.NewTimer(urgentDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// spread tells news to a few members.
func (m *Membership) spread(ctx context.Context) {
	m.mutex.Lock()
	members := m.table.Members()
	partners := m.partners(members)
	if len(members) == 1 {
		partners = unknown(m.strangers(members))
	}
	m.noticeRounds = max(0, m.noticeRounds-1)
	again := m.noticeRounds > 0
	m.mutex.Unlock()
	if again {
		m.Spread()
	}
	m.exchangeAll(ctx, partners)
}

// Leave tells other instances that this one is leaving.
func (m *Membership) Leave(ctx context.Context) {
	m.mutex.Lock()
	m.table.Leave()
	m.mutex.Unlock()
	for range leaveRounds {
		m.mutex.Lock()
		partners := m.schedule.Spread(m.table.Self(), m.table.Members(), m.options.Fanout)
		m.mutex.Unlock()
		m.exchangeAll(ctx, partners)
	}
}

func (m *Membership) partners(members []Member) []Member {
	if !m.table.HasNews() && m.noticeRounds == 0 {
		return nil
	}
	return m.schedule.Spread(m.table.Self(), members, m.options.Fanout)
}

// strangers returns the address of an instance that is not a live member, now and then. While nobody is known it
// returns several.
func (m *Membership) strangers(members []Member) []string {
	alone := len(members) == 1
	if !alone && m.rounds%healIntervals != 0 {
		return nil
	}
	known := map[string]bool{}
	for _, k := range members {
		known[k.PeerAddress] = true
	}
	var strangers []string
	for _, address := range m.candidates() {
		if !known[address] {
			known[address] = true
			strangers = append(strangers, address)
		}
	}
	m.options.Random.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	if alone {
		return strangers[:min(len(strangers), m.options.Fanout)]
	}
	return strangers[:min(len(strangers), 1)]
}

func (m *Membership) candidates() []string {
	candidates := append([]string{}, m.listed...)
	candidates = append(candidates, m.options.Seeds...)
	for _, dead := range m.table.Remembered() {
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
	encoded := encodeRequest(request, m.notices(now))
	encoded.List = m.listState(now)
	reply, err := m.exchanger.Exchange(ctx, partner.PeerAddress, encoded)
	now = m.options.Clock()
	if err != nil {
		m.failed(now, partner)
		return
	}
	message := decodeReply(reply)
	m.takeNotices(now, reply.GetServers())
	m.takeListState(now, message.Sender, reply.GetList())
	m.mutex.Lock()
	if partner.Name != "" && partner.Name != message.Sender.Name {
		m.table.Failed(now, partner.Name, partner.Incarnation)
	}
	m.table.TakeReply(now, message)
	m.mutex.Unlock()
	m.contacted(now, message.Sender)
}

func (m *Membership) failed(now time.Time, partner Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.Failed(now, partner.Name, partner.Incarnation)
}

func (m *Membership) contacted(now time.Time, peer Member) {
	for _, l := range m.onPeer {
		l(now, peer)
	}
}

// Exchange answers a message of another instance.
func (m *Membership) Exchange(_ context.Context, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error) {
	now := m.options.Clock()
	message := decodeRequest(request)
	m.takeNotices(now, request.GetServers())
	m.mutex.Lock()
	before := m.table.Changes()
	answer := m.table.Answer(now, message)
	learned := m.table.Changes() != before
	m.mutex.Unlock()
	if learned {
		m.Spread()
	}
	m.takeListState(now, message.Sender, request.GetList())
	m.contacted(now, message.Sender)
	reply := encodeReply(answer, m.notices(now))
	reply.List = m.listState(now)
	return reply, nil
}
