package lrpeer

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// leavingServer is one process of a backend server.
type leavingServer struct{ name, incarnation string }

func (m *Membership) notices(now time.Time) []ServerNotice {
	if m.board == nil {
		return nil
	}
	notices := m.board.Notices(now, maxNotices)
	m.hurryLeaving(notices)
	return notices
}

func (m *Membership) takeNotices(now time.Time, encoded []*lrpeerpb.ServerNotice) {
	if m.board == nil || len(encoded) == 0 {
		return
	}
	notices := decodeNotices(encoded)
	m.board.TakeNotices(now, notices)
	m.hurryLeaving(notices)
}

// hurryLeaving starts rounds at once when a backend server is found leaving that was not known to.
func (m *Membership) hurryLeaving(notices []ServerNotice) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.leaving) > maxLeaving {
		m.leaving = map[leavingServer]struct{}{}
	}
	for _, n := range notices {
		server := leavingServer{name: n.Name, incarnation: n.Incarnation}
		_, known := m.leaving[server]
		if n.Leaving && !known {
			m.leaving[server] = struct{}{}
			m.noticeRounds = leavingRounds
			m.Spread()
		}
	}
}

func (m *Membership) listState(now time.Time) *lrpeerpb.ListState {
	if m.listing == nil {
		return nil
	}
	return m.listing.state(now)
}

func (m *Membership) takeListState(now time.Time, peer Member, state *lrpeerpb.ListState) {
	if m.listing != nil {
		m.listing.offer(now, peer.PeerAddress, state)
	}
}
