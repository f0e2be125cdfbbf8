package lrcanary

import "time"

// lostTime is how long after a restore of the store an order that it has lost counts as the same when it is written again.
const lostTime = 30 * time.Second

// Restored tells that the store has come back from an older copy. It must be called before the first entries from after that. What is known of
// the orders stays: the copy may lack an order, its status or its withdrawal, and its revisions can't be compared with earlier ones. The holder
// stores again what the copy lacks.
func (b *Board) Restored(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expireLost(now)
	b.restores++
	b.restoredAt = now
	for _, s := range b.services {
		r := s.rollout
		if r == nil {
			continue
		}
		r.entry.Revision, r.confirmedFence, r.isRestored = 0, 0, true
		if s.lost == nil || !s.lost.isRestored {
			s.lost = r
		}
	}
}

// expireLost forgets the orders that have not come back within lostTime. It must be called with the mutex held.
func (b *Board) expireLost(now time.Time) {
	if now.Sub(b.restoredAt) < lostTime {
		return
	}
	for _, s := range b.services {
		s.lost = nil
		if s.rollout != nil && s.rollout.isWithdrawn {
			s.rollout.isRestored = false
		}
	}
}

// isLost reports whether the entry is the order that a restore has replaced by an earlier one.
func (s *service) isLost(e Entry) bool {
	return s.lost != nil && s.lost != s.rollout && s.lost.isRestored && s.lost.order == e.Order()
}

// resume goes on with the order that a restore has replaced. The attempts in flight count as those of the old release.
func (s *service) resume() {
	s.rollout, s.runningNew, s.flights = s.lost, 0, map[*flight]bool{}
}

// confirmRestored ends the time after a restore, unless a decision is known that the entry lacks.
func (r *rollout) confirmRestored() {
	isDecided := r.stage == Rejected || r.stage == Moved
	if !isDecided || r.entry.Decision().IsFinal() {
		r.isRestored = false
	}
}
