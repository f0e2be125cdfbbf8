package lrnotice

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxServers bounds the servers that a Board knows. Further ones are ignored until known ones are forgotten.
	maxServers = 4096
	// limitRetention is how long a limit is remembered that no answer has confirmed, and leavingRetention how long a server that leaves is.
	limitRetention   = time.Minute
	leavingRetention = 10 * time.Minute
	// updateFor is how long a change is part of each update.
	updateFor = 1500 * time.Millisecond
)

// A Board keeps the latest notice of each server. It is safe for concurrent use.
type Board struct {
	// self is the name of this instance.
	self    string
	mutex   sync.Mutex
	servers map[string]*entry
	fleet   Fleet
	// fleetVersion grows with each change of the fleet.
	fleetVersion uint64
}

// entry is what is known of one start of a server.
type entry struct {
	incarnation int64
	limit       statement
	isLeaving   bool
	leavingAt   time.Time
	// changedAt is when the limit or isLeaving last changed.
	changedAt   time.Time
	pausedUntil time.Time
	allowance   allowance
}

// statement is the latest that a server said of its limit. It was made between sent, when the request to whose answer it belongs was sent,
// and received.
type statement struct {
	// id differs between statements, so that one that comes back through other instances is not taken for a newer one.
	id       uint64
	hasLimit bool
	limit    float64
	sent     time.Time
	received time.Time
}

// NewBoard returns a Board of the instance that knows nothing of any server.
func NewBoard(self string) *Board { return &Board{self: self, servers: map[string]*entry{}} }

// A Change is what an answer or an update changed in what is believed of a server.
type Change struct {
	Limit   bool
	Leaving bool
	Pause   bool
}

// IsNone reports whether nothing has changed.
func (c Change) IsNone() bool { return c == Change{} }

// Observe records the notice in an answer to a request that this instance sent at the given time.
func (b *Board) Observe(now, sent time.Time, server Server, notice Notice) Change {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.entry(now, server, notice != Notice{})
	if !ok {
		return Change{}
	}
	var change Change
	if !notice.IsLimitUnreadable || notice.HasLimit {
		change.Limit = e.setLimit(now, statement{id: rand.Uint64(), hasLimit: notice.HasLimit, limit: notice.Limit, sent: sent, received: now})
	}
	change.Leaving = notice.IsLeaving && e.setLeaving(now, now)
	until := now.Add(notice.Pause)
	if notice.Pause > 0 && until.After(e.pausedUntil) {
		e.pausedUntil, change.Pause = until, true
	}
	return change
}

// entry returns what is known of the server. It is made if create is set. There is none for a start before the known one. It must be
// called with the mutex held.
func (b *Board) entry(now time.Time, server Server, create bool) (*entry, bool) {
	e, ok := b.servers[server.ID]
	switch {
	case ok && e.incarnation == server.Incarnation:
		return e, true
	case ok && e.incarnation > server.Incarnation:
		return nil, false
	case !ok && !create:
		return nil, false
	}
	if !ok && len(b.servers) >= maxServers {
		b.forget(now)
		if len(b.servers) >= maxServers {
			return nil, false
		}
	}
	e = &entry{incarnation: server.Incarnation}
	b.servers[server.ID] = e
	return e, true
}

// forget removes what is no longer of use. It must be called with the mutex held.
func (b *Board) forget(now time.Time) {
	for id, e := range b.servers {
		isLeaving := e.isLeaving && now.Sub(e.leavingAt) < leavingRetention
		if !isLeaving && now.Sub(e.limit.received) > limitRetention && now.After(e.pausedUntil) {
			delete(b.servers, id)
		}
	}
}

// setLimit applies a statement unless it is older than the known one, and reports whether that changed the limit. A limit ends only with
// the answer to a request that was sent after the limit was received, since answers to requests that run at the same time may overtake
// one another.
func (e *entry) setLimit(now time.Time, s statement) bool {
	known := e.limit
	switch {
	case s.id == known.id:
		return false
	case s.hasLimit && s.sent.Before(known.sent):
		return false
	case !s.hasLimit && (!known.hasLimit || !s.sent.After(known.received)):
		return false
	}
	e.limit = s
	if s.hasLimit == known.hasLimit && s.limit == known.limit {
		return false
	}
	e.changedAt = now
	return true
}

// setLeaving records that the server said at the given time that it is leaving, and reports whether that is new. A server that leaves does
// so until it starts again.
func (e *entry) setLeaving(now, at time.Time) bool {
	if e.isLeaving {
		return false
	}
	e.isLeaving, e.leavingAt, e.changedAt = true, at, now
	return true
}

// IsLeaving reports whether the server has said that it is leaving.
func (b *Board) IsLeaving(server Server) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.entry(time.Time{}, server, false)
	return ok && e.isLeaving
}

// HasLimits reports whether some server names a limit, so that the fleet must be known.
func (b *Board) HasLimits() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.servers {
		if e.limit.hasLimit {
			return true
		}
	}
	return false
}

// Counts returns the number of servers that name a limit, that are leaving and that want a pause.
func (b *Board) Counts(now time.Time) (limited, leaving, paused int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.servers {
		if e.hasLimit(now) {
			limited++
		}
		if e.isLeaving {
			leaving++
		}
		if now.Before(e.pausedUntil) {
			paused++
		}
	}
	return limited, leaving, paused
}

// Paused returns the servers that want no request from this instance now, sorted by name, and the time until the first of them takes
// requests again.
func (b *Board) Paused(now time.Time) (servers []string, wait time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, e := range b.servers {
		left := e.pausedUntil.Sub(now)
		if left <= 0 {
			continue
		}
		servers = append(servers, id)
		if wait == 0 || left < wait {
			wait = left
		}
	}
	slices.Sort(servers)
	return servers, wait
}
