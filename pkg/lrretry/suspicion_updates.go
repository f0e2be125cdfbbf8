package lrretry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// passOnFor is how long after a change the state of a server is sent to other instances.
	passOnFor = time.Second
	// maxUpdates bounds the servers in one message, the latest changes first.
	maxUpdates = 64
)

// A SuspicionUpdate says how long ago instances found a server silent, and received a byte from it. A negative age means never.
type SuspicionUpdate struct {
	Server       string
	Incarnation  int64
	SuspectedAge time.Duration
	// TrialAge is the time since a trial request was last sent to the server.
	TrialAge time.Duration
	// ResponseAge is the time since the last byte from the server.
	ResponseAge time.Duration
}

// never is the age of what has not happened.
const never = time.Duration(-1)

// minAdvance is how much later than the known time a reported time must be. The delay of the network makes each age look a little lower, so
// that an update that comes back would otherwise count as a new one.
const minAdvance = 100 * time.Millisecond

// minConfirmAdvance is the same for the confirmation of a suspicion: instances that confirm it at about the same time are passed on once.
const minConfirmAdvance = time.Second

// Updates returns what has changed lately and is to be sent to other instances.
func (m *ResponseMonitor) Updates(now time.Time) []SuspicionUpdate {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var updates []SuspicionUpdate
	for name, s := range m.servers {
		// An instance that is answered by a server contradicts the suspicion of another one for as long as that may hold.
		contradicts := !s.suspectedAt.IsZero() && now.Sub(s.suspectedAt) < passOnFor && !s.isSuspected(now)
		if !contradicts && now.Sub(s.changedAt) >= passOnFor || s.suspectedAt.IsZero() {
			continue
		}
		u := SuspicionUpdate{
			Server: name, Incarnation: s.incarnation, SuspectedAge: age(now, s.suspectedAt), TrialAge: age(now, s.trialAt), ResponseAge: never,
		}
		if !s.isSuspected(now) {
			u.ResponseAge = age(now, s.byteAt)
		}
		updates = append(updates, u)
	}
	slices.SortFunc(updates, func(a, b SuspicionUpdate) int {
		return cmp.Or(cmp.Compare(min(a.SuspectedAge, a.responseOrder()), min(b.SuspectedAge, b.responseOrder())), cmp.Compare(a.Server, b.Server))
	})
	return updates[:min(len(updates), maxUpdates)]
}

func (u SuspicionUpdate) responseOrder() time.Duration {
	if u.ResponseAge < 0 {
		return forgetAfter
	}
	return u.ResponseAge
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return never
	}
	return max(now.Sub(at), 0)
}

// Merge applies the updates of another instance. Updates on another start of a server than the known one are ignored.
func (m *ResponseMonitor) Merge(now time.Time, updates []SuspicionUpdate) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, u := range updates {
		s, ok := m.servers[u.Server]
		if !ok && len(m.servers) < maxServers {
			s, ok = m.serverOf(u.Server, u.Incarnation), true
		}
		if !ok || s.incarnation != u.Incarnation {
			continue
		}
		m.merge(now, s, u)
	}
}

func (m *ResponseMonitor) merge(now time.Time, s *serverResponses, u SuspicionUpdate) {
	if at := now.Add(-u.ResponseAge); u.ResponseAge >= 0 && at.Sub(s.byteAt) > minAdvance {
		wasSuspected := s.isSuspected(now)
		s.byteAt = at
		if wasSuspected && !s.isSuspected(now) {
			s.changedAt = now
		}
	}
	advance := minAdvance
	if s.isSuspected(now) {
		advance = minConfirmAdvance
	}
	if at := now.Add(-u.SuspectedAge); u.SuspectedAge >= 0 && u.SuspectedAge < suspicionTTL && at.Sub(s.suspectedAt) > advance {
		m.suspect(now, at, s)
	}
	if at := now.Add(-u.TrialAge); u.TrialAge >= 0 && at.Sub(s.trialAt) > minAdvance {
		s.trialAt = at
	}
}
