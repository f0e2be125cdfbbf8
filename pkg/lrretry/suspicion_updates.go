package lrretry

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// passOnFor is how long after a change the state of a server is sent to other instances.
	passOnFor = time.Second
	// maxUpdates bounds the servers that are named in one report, suspicions first, and maxResponses those whose last byte is reported.
	maxUpdates   = 64
	maxResponses = 512
	// never is the age of what has not happened.
	never = time.Duration(-1)
	// minAdvance is how much later than the known time a reported time must be. The delay of the network makes each age look a little lower, so
	// that a report that comes back would otherwise count as a new one.
	minAdvance = 100 * time.Millisecond
	// reportDelay is added to the age of a response, so that one that is passed on again and again does not look recent.
	reportDelay = 50 * time.Millisecond
	// minConfirmAdvance is minAdvance for the confirmation of a suspicion: instances that confirm it at about the same time are passed on once.
	minConfirmAdvance = time.Second
)

// A Report is what one instance tells another of the responses of servers.
type Report struct {
	Suspicions []SuspicionUpdate
	Responses  []ResponseUpdate
}

// A SuspicionUpdate says how long ago instances found a server silent, and missed its responses. A negative age means never.
type SuspicionUpdate struct {
	Server       string
	Incarnation  int64
	SuspectedAge time.Duration
	// DoubtAge is the time since an instance missed responses and asked the others for theirs.
	DoubtAge time.Duration
	// TrialAge is the time since a trial request was last sent to the server.
	TrialAge time.Duration
}

// A ResponseUpdate says how long ago a byte has arrived from a server.
type ResponseUpdate struct {
	// Key is a hash of the server and its start.
	Key uint32
	Age time.Duration
}

// responseKey returns the key of a start of the server.
func responseKey(server string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(server + "/" + strconv.FormatInt(incarnation, 36)))
}

// Report returns what is to be sent to other instances: suspicions and doubts that have changed lately, and the last bytes from servers whose
// responses some instance misses.
func (m *ResponseMonitor) Report(now time.Time) Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var report Report
	for name, s := range m.servers {
		if s.doubtedAt.IsZero() && s.suspectedAt.IsZero() {
			continue
		}
		if now.Sub(s.changedAt) < passOnFor {
			report.Suspicions = append(report.Suspicions, SuspicionUpdate{
				Server: name, Incarnation: s.incarnation, SuspectedAge: age(now, s.suspectedAt), DoubtAge: age(now, s.doubtedAt), TrialAge: age(now, s.trialAt),
			})
		}
		isAsked := now.Sub(later(s.doubtedAt, s.suspectedAt)) < doubtTTL
		if isAsked && now.Sub(s.byteAt) < doubtTTL && len(report.Responses) < maxResponses {
			report.Responses = append(report.Responses, ResponseUpdate{Key: s.key, Age: age(now, s.byteAt)})
		}
	}
	report.Suspicions = m.bounded(report.Suspicions)
	return report
}

// bounded returns the updates for one report: suspicions, then doubts. Each report goes on where the one before ended, so that every server has
// its turn.
func (m *ResponseMonitor) bounded(updates []SuspicionUpdate) []SuspicionUpdate {
	if len(updates) <= maxUpdates {
		return updates
	}
	slices.SortFunc(updates, func(a, b SuspicionUpdate) int {
		return cmp.Or(cmp.Compare(b.isSuspicion(), a.isSuspicion()), cmp.Compare(a.Server, b.Server))
	})
	m.sentUpTo = (m.sentUpTo + maxUpdates) % len(updates)
	return append(updates[m.sentUpTo:], updates[:m.sentUpTo]...)[:maxUpdates]
}

// isSuspicion returns 1 for a suspicion and 0 for a doubt.
func (u SuspicionUpdate) isSuspicion() int {
	if u.SuspectedAge >= 0 && u.SuspectedAge < suspicionTTL {
		return 1
	}
	return 0
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return never
	}
	return max(now.Sub(at), 0)
}

// Merge applies the report of another instance. Updates on another start of a server than the known one are ignored.
func (m *ResponseMonitor) Merge(now time.Time, report Report) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, u := range report.Suspicions {
		s, ok := m.servers[u.Server]
		if !ok && len(m.servers) < maxServers {
			s, ok = m.serverOf(u.Server, u.Incarnation), true
		}
		if ok && s.incarnation == u.Incarnation {
			m.mergeSuspicion(now, s, u)
		}
	}
	for _, u := range report.Responses {
		s, ok := m.servers[m.names[u.Key]]
		at := now.Add(-u.Age - reportDelay)
		if ok && s.key == u.Key && u.Age >= 0 && at.Sub(s.byteAt) > minAdvance {
			s.byteAt = at
			if at.Sub(s.ownByteAt) > minAdvance {
				m.toldAt = now
			}
		}
	}
}

func (m *ResponseMonitor) mergeSuspicion(now time.Time, s *serverResponses, u SuspicionUpdate) {
	if u.DoubtAge >= 0 && u.DoubtAge < doubtTTL {
		s.recordDoubt(now, now.Add(-u.DoubtAge))
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
