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

// network hands messages to memberships inside the test.
type network struct {
	mutex       sync.Mutex
	now         time.Time
	memberships map[string]*Membership
	boards      []*testBoard
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

// testBoard remembers the notices that it was given.
type testBoard struct {
	mutex   sync.Mutex
	notices []ServerNotice
}

func (b *testBoard) Notices(_ time.Time, limit int) []ServerNotice {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.notices[:min(limit, len(b.notices))]
}

func (b *testBoard) TakeNotices(_ time.Time, notices []ServerNotice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.notices) == 0 {
		b.notices = notices
	}
}

func (b *testBoard) len() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.notices)
}

func newNetwork(count int) *network {
	n := &network{now: time.Unix(0, 0), memberships: map[string]*Membership{}}
	for i := range count {
		address := fmt.Sprint("address-", i)
		m := NewMembership(Member{Name: fmt.Sprint("router-", i), Zone: fmt.Sprint(i % 3), PeerAddress: address, Incarnation: 1}, n, Options{
			Interval: testInterval, Fanout: 3, Seeds: []string{"address-0", "address-1"}, Clock: n.clock,
			Random: rand.New(rand.NewPCG(uint64(i), 0)), Log: zerolog.Nop(),
		})
		board := &testBoard{}
		m.SetBoard(board)
		n.memberships[address], n.boards = m, append(n.boards, board)
	}
	return n
}

// round lets every membership exchange heartbeats once.
func (n *network) round() {
	n.mutex.Lock()
	n.now = n.now.Add(testInterval)
	n.mutex.Unlock()
	for i := range n.boards {
		n.memberships[fmt.Sprint("address-", i)].Round(context.Background(), n.clock())
	}
}

// urgentRound lets every membership that has urgent news spread it.
func (n *network) urgentRound() {
	for i := range n.boards {
		m := n.memberships[fmt.Sprint("address-", i)]
		select {
		case <-m.wake:
			m.spread(context.Background())
		default:
		}
	}
}

func TestRosterFormsFromSeeds(t *testing.T) {
	n := newNetwork(30)
	for range 20 {
		n.round()
	}
	for address, m := range n.memberships {
		if len(m.Members()) != len(n.boards) {
			t.Fatalf("%s knows %d members of %d", address, len(m.Members()), len(n.boards))
		}
	}
}

func TestLeavingBackendServerIsToldWithoutWaitingForHeartbeats(t *testing.T) {
	const urgentRounds = int((2*time.Second - testInterval) / urgentDelay)
	n := newNetwork(90)
	for range 30 {
		n.round()
		n.urgentRound()
	}
	n.boards[5].TakeNotices(n.clock(), []ServerNotice{{Name: "engine-1", Incarnation: "7", Leaving: true}})
	n.memberships["address-5"].Round(context.Background(), n.clock())
	for range urgentRounds {
		n.urgentRound()
	}
	for i, b := range n.boards {
		if b.len() == 0 {
			t.Fatalf("instance %d has not heard that the backend server is leaving", i)
		}
	}
}
