package lrpeer

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// leavingServer identifies a process of a backend server that is leaving.
type leavingServer struct{ name, incarnation string }

func (m *Membership) updates(now time.Time) []ServerUpdate {
	if m.serverUpdates == nil {
		return nil
	}
	updates := m.serverUpdates.NextUpdates(now, maxUpdates)
	m.spreadLeaving(updates)
	return updates
}

func (m *Membership) applyUpdates(now time.Time, encoded []*lrpeerpb.ServerNotice) {
	if m.serverUpdates == nil || len(encoded) == 0 {
		return
	}
	updates := decodeUpdates(encoded)
	m.serverUpdates.ApplyUpdates(now, updates)
	m.spreadLeaving(updates)
}

// spreadLeaving requests urgent rounds when an update reports a leaving backend server for the first time.
func (m *Membership) spreadLeaving(updates []ServerUpdate) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.leaving) > maxLeaving {
		m.leaving = map[leavingServer]struct{}{}
	}
	for _, n := range updates {
		server := leavingServer{name: n.Name, incarnation: n.Incarnation}
		_, known := m.leaving[server]
		if n.Leaving && !known {
			m.leaving[server] = struct{}{}
			m.urgentRoundsLeft = urgentRounds
			m.RequestRound()
		}
	}
}

func (m *Membership) listState(now time.Time) *lrpeerpb.ListState {
	if m.instanceList == nil {
		return nil
	}
	return m.instanceList.state(now)
}

func (m *Membership) applyListState(now time.Time, peer Member, state *lrpeerpb.ListState) {
	if m.instanceList != nil {
		m.instanceList.applyState(now, peer.PeerAddress, state)
	}
}
