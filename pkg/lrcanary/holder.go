package lrcanary

import (
	"slices"
	"strings"
	"time"
)

// Holder is the position of the instance that holds the lease.
type Holder struct {
	// Fence is the fencing number of the lease.
	Fence uint64
	// Instances is the number of listed instances, this one included.
	Instances int
}

// A Write is a status to store.
type Write struct {
	Entry Entry
	State State
	// restores is the number of restores of the store that were known when the write was decided.
	restores int
}

// Drive moves the roll-outs on, which only the holder may do, and returns the statuses to store. A holder first stores that a roll-out is
// running: a write of an earlier holder that is still on its way then fails, because the revision has changed.
func (b *Board) Drive(now time.Time, h Holder) []Write {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.noteMissing(now, h)
	var writes []Write
	for _, s := range b.services {
		if !s.isOpen() {
			continue
		}
		s.rollout.holderAt = now
		state := b.drive(now, s, h)
		if state != Undecided {
			writes = append(writes, Write{Entry: s.rollout.entry, State: state, restores: b.restores})
		}
	}
	slices.SortFunc(writes, func(a, b Write) int { return strings.Compare(a.Entry.Name, b.Entry.Name) })
	return writes
}

// drive returns the status that is due for the service, or Undecided.
func (b *Board) drive(now time.Time, s *service, h Holder) State {
	r := s.rollout
	switch {
	case r.stage == Rejected:
		return RolledBack
	case r.stage == Moved:
		return Completed
	case !r.hasNew && r.stage < Full:
		return Undecided
	case r.confirmedFence != h.Fence:
		return Running
	}
	stage, verdict := r.next(now, b.total())
	if stage != r.stage {
		b.enter(now, r, stage, verdict)
		r.setServers(s.servers)
	}
	if r.stage == Full && now.Sub(r.orderedAt) >= r.schedule.finishAt && b.isQuiet(now, s, h) {
		return Completed
	}
	return Undecided
}

// isQuiet reports whether all instances send everything to the new release and nothing is in flight at old servers. Instances that are out
// of reach for long, while most are within reach, are taken to have ended.
func (b *Board) isQuiet(now time.Time, s *service, h Holder) bool {
	r := s.rollout
	sum := s.gauge(now).Plus(b.gauges[r.order])
	reached := b.reached + 1
	if sum.RunningOld > 0 || sum.Acknowledged < min(reached, h.Instances) {
		return false
	}
	return sum.Acknowledged >= h.Instances || 2*reached > h.Instances && now.Sub(b.missingSince) >= missingAfter
}

// noteMissing records since when no more instances are out of reach than now.
func (b *Board) noteMissing(now time.Time, h Holder) {
	missing := max(h.Instances-b.reached-1, 0)
	if missing > b.missing || b.missingSince.IsZero() {
		b.missingSince = now
	}
	b.missing = missing
}

// IsDue reports whether the state may still be stored: a verdict since it was decided prevents the completion, and a restore of the store
// calls for a new decision.
func (b *Board) IsDue(w Write) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.services[w.Entry.Name]
	if s == nil || s.rollout == nil || s.rollout.order != w.Entry.Order() || s.rollout.isWithdrawn || w.restores != b.restores {
		return false
	}
	switch w.State {
	case Completed:
		return s.rollout.stage == Full || s.rollout.stage == Moved
	case RolledBack:
		return s.rollout.stage == Rejected
	default:
		return true
	}
}

// Stored records that the status was stored by this instance under the fencing number, with the revision of the entry after it. A store that
// came back from an older copy since then may have lost it, and counts its revisions anew.
func (b *Board) Stored(now time.Time, w Write, fence, revision uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.services[w.Entry.Name]
	if s == nil || s.rollout == nil || s.rollout.order != w.Entry.Order() {
		return
	}
	r := s.rollout
	isKept := w.restores == b.restores
	if isKept && revision >= r.entry.Revision {
		r.entry.Revision, r.entry.StoredState, r.entry.StoredTo = revision, w.State, r.entry.To
		r.confirmRestored()
	}
	switch {
	case w.State == Running && isKept:
		r.confirmedFence = fence
	case w.State == Completed:
		b.enter(now, r, Moved, "")
	}
	r.setServers(s.servers)
}

// A Status describes a roll-out for metrics.
type Status struct {
	Service string
	To      string
	Stage   Stage
	Share   float64
	// Age is the time since the order became known.
	Age time.Duration
	New Counts
	Old Counts
	// Sum is the gauge of all instances.
	Sum Gauge
	// HasNew is set while a server of the new release is listed, and IsDecided once the decision is stored.
	HasNew    bool
	IsDecided bool
}

// Statuses returns the state of all roll-outs.
func (b *Board) Statuses(now time.Time) []Status {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := b.total()
	var statuses []Status
	for name, s := range b.services {
		if r := s.rollout; r != nil && !r.isWithdrawn {
			statuses = append(statuses, Status{
				Service: name, To: r.entry.To, Stage: r.stage, Share: r.share(now), Age: now.Sub(r.orderedAt), New: total.total(r.order, true),
				Old: total.total(r.order, false), Sum: s.gauge(now).Plus(b.gauges[r.order]), HasNew: r.hasNew, IsDecided: r.entry.Decision().IsFinal(),
			})
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Service, b.Service) })
	return statuses
}
