package lrpeer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

const testInterval = 500 * time.Millisecond

// network delivers messages between memberships in the process.
type network struct {
	mutex         sync.Mutex
	now           time.Time
	memberships   map[string]*Membership
	serverUpdates []*testServerUpdates
}

func (n *network) clock() time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.now
}

func (n *network) Exchange(ctx context.Context, address string, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error) {
	m, ok := n.memberships[address]
	if !ok {
		return nil, errors.New("nobody listens")
	}
	return m.Exchange(ctx, request)
}

// testServerUpdates records the first updates that it receives and sends them on.
type testServerUpdates struct {
	mutex   sync.Mutex
	updates []ServerUpdate
}

func (b *testServerUpdates) NextUpdates(_ time.Time, limit int) []ServerUpdate {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.updates[:min(limit, len(b.updates))]
}

func (b *testServerUpdates) ApplyUpdates(_ time.Time, updates []ServerUpdate) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.updates) == 0 {
		b.updates = updates
	}
}

func (b *testServerUpdates) len() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.updates)
}

func newNetwork(count int) *network {
	n := &network{now: time.Unix(0, 0), memberships: map[string]*Membership{}}
	for i := range count {
		address := fmt.Sprint("address-", i)
		m := NewMembership(Member{Name: fmt.Sprint("router-", i), Zone: fmt.Sprint(i % 3), PeerAddress: address, Incarnation: 1}, n, Options{
			Interval: testInterval, Fanout: 3, Seeds: []string{"address-0", "address-1"}, Clock: n.clock,
			Random: rand.New(rand.NewPCG(uint64(i), 0)), Log: zerolog.Nop(),
		})
		updates := &testServerUpdates{}
		m.SetServerUpdates(updates)
		n.memberships[address], n.serverUpdates = m, append(n.serverUpdates, updates)
	}
	return n
}

// round runs one heartbeat round of every membership.
func (n *network) round() {
	n.mutex.Lock()
	n.now = n.now.Add(testInterval)
	n.mutex.Unlock()
	for i := range n.serverUpdates {
		n.memberships[fmt.Sprint("address-", i)].Round(context.Background(), n.clock())
	}
}

// runUrgentRounds runs an urgent round of every membership that has requested one.
func (n *network) runUrgentRounds() {
	for i := range n.serverUpdates {
		m := n.memberships[fmt.Sprint("address-", i)]
		select {
		case <-m.roundRequested:
			m.urgentRound(context.Background())
		default:
		}
	}
}

func TestMembershipFormsFromSeeds(t *testing.T) {
	n := newNetwork(30)
	for range 20 {
		n.round()
	}
	for address, m := range n.memberships {
		if len(m.Members()) != len(n.serverUpdates) {
			t.Fatalf("%s knows %d members of %d", address, len(m.Members()), len(n.serverUpdates))
		}
	}
}

func TestLeavingServerIsReportedBetweenHeartbeats(t *testing.T) {
	const urgentRounds = int((2*time.Second - testInterval) / urgentDelay)
	n := newNetwork(90)
	for range 30 {
		n.round()
		n.runUrgentRounds()
	}
	n.serverUpdates[5].ApplyUpdates(n.clock(), []ServerUpdate{{Name: "engine-1", Incarnation: "7", Leaving: true}})
	n.memberships["address-5"].Round(context.Background(), n.clock())
	for range urgentRounds {
		n.runUrgentRounds()
	}
	for i, b := range n.serverUpdates {
		if b.len() == 0 {
			t.Fatalf("instance %d has not received the update that the backend server is leaving", i)
		}
	}
}
