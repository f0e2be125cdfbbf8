package lrnotice

import "time"

// An Update is what an instance tells others of one server. A pause is not part of it, since a server asks single instances for it.
type Update struct {
	Server
	// StatementID is the ID of the latest statement on the limit.
	StatementID uint64
	HasLimit    bool
	Limit       float64
	IsLeaving   bool
	// SentAge and ReceivedAge are the times since the request was sent, and its answer received, that said so of the limit.
	SentAge     time.Duration
	ReceivedAge time.Duration
	// LeavingAge is the time since the server last said that it is leaving.
	LeavingAge time.Duration
}

// Updates returns what has changed lately, or with all everything that is known.
func (b *Board) Updates(now time.Time, all bool) []Update {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if all {
		b.forget(now)
	}
	var updates []Update
	for id, e := range b.servers {
		isKnown := e.isLeaving || !e.limit.received.IsZero()
		if !isKnown || !all && now.Sub(e.changedAt) > updateFor {
			continue
		}
		u := Update{Server: Server{ID: id, Incarnation: e.incarnation}, StatementID: e.limit.id, HasLimit: e.limit.hasLimit, Limit: e.limit.limit, IsLeaving: e.isLeaving}
		u.SentAge, u.ReceivedAge, u.LeavingAge = ageOf(now, e.limit.sent), ageOf(now, e.limit.received), ageOf(now, e.leavingAt)
		updates = append(updates, u)
	}
	return updates
}

// maxAge bounds an age that is sent. What is older or has never been said is as old as this.
const maxAge = time.Hour

func ageOf(now, at time.Time) time.Duration { return min(max(now.Sub(at), 0), maxAge) }

// Merge applies the updates of another instance. It calls changed with each server of which something changed.
func (b *Board) Merge(now time.Time, updates []Update, changed func(server Server, notice Notice)) {
	for _, u := range updates {
		if b.merge(now, u) {
			changed(u.Server, Notice{HasLimit: u.HasLimit, Limit: u.Limit, IsLeaving: u.IsLeaving})
		}
	}
}

func (b *Board) merge(now time.Time, u Update) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.entry(now, u.Server, true)
	if !ok {
		return false
	}
	hasChanged := false
	if u.ReceivedAge < maxAge {
		hasChanged = e.setLimit(now, statement{id: u.StatementID, hasLimit: u.HasLimit, limit: u.Limit, sent: now.Add(-u.SentAge), received: now.Add(-u.ReceivedAge)})
	}
	if u.IsLeaving && u.LeavingAge < leavingRetention {
		hasChanged = e.setLeaving(now, now.Add(-u.LeavingAge)) || hasChanged
	}
	return hasChanged
}
