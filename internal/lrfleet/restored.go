package lrfleet

import (
	"maps"
	"time"
)

const (
	// removedRetention is how long a removed entry is remembered. The copy from which a store comes back is some seconds old.
	removedRetention = 30 * time.Second
	// maxRemoved bounds the removed entries that are remembered. Beyond that, the others are forgotten.
	maxRemoved = 4096
)

// A RestorePolicy says how entries are used that the platform lists from an older copy of its store. Those who write them write them again,
// but until then the copy shows what has changed since as it was before.
type RestorePolicy[T any] struct {
	// Grace is how long after the platform has gone back an entry may be from the copy: by then its writer has written it again, or the
	// platform has removed it because its writer is gone.
	Grace time.Duration
	// Merge returns what to use for a listed entry of which a later state may be known.
	Merge func(known, listed T) T
	// IsSameStart reports whether the listed entry is of the same start of its writer as one that was removed, or of an earlier one.
	IsSameStart func(removed, listed T) bool
	// IsLaterStart reports whether the writer of the listed entry has started later than that of the known one.
	IsLaterStart func(known, listed T) bool
}

// restoreState holds what was known of the entries when the platform went back, until the grace period of the policy is over.
type restoreState[T any] struct {
	until time.Time
	known map[string]T
	// removed holds the entries that the copy shows though they were removed since.
	removed map[string]T
	// isTold says that this instance has started since, and that others have told it all of this.
	isTold bool
	// told are the entries for other instances, apart from the remaining time. They are out of date, and made anew when they are needed, unless
	// isToldCurrent is set.
	told          []RestoredEntry
	isToldCurrent bool
}

// removedEntry is an entry that was removed, with the time of that.
type removedEntry[T any] struct {
	entry T
	at    time.Time
}

// rememberRemoved keeps the entry, which is about to be removed. It must be called with the mutex held.
func (f *Follower[T]) rememberRemoved(now time.Time, name string, entry T) {
	if f.options.Restore == nil {
		return
	}
	if len(f.removed) >= maxRemoved {
		maps.DeleteFunc(f.removed, func(_ string, r removedEntry[T]) bool { return now.Sub(r.at) > removedRetention })
	}
	if len(f.removed) < maxRemoved {
		f.removed[name] = removedEntry[T]{entry, now}
	}
}

// beginRestore keeps what is known of the entries now that the platform has gone back to the given era and lists the given ones. It must be
// called with the mutex held.
func (f *Follower[T]) beginRestore(now time.Time, era uint64, listed map[string]T) {
	// Entries that were written since the copy are written again as those are that have lapsed in an outage, within a time that counts from
	// the return of the store.
	f.restoredAt = f.options.Eras.Since(now, era)
	f.recoveredAt = f.restoredAt
	if f.options.Restore == nil {
		return
	}
	f.restoredEra = era
	known, removed := f.used(now), map[string]T{}
	for name, entry := range listed {
		if f.wasRemoved(now, known, name, entry) {
			removed[name] = entry
		}
	}
	f.restored = &restoreState[T]{until: now.Add(f.options.Restore.Grace), known: known, removed: removed}
}

// wasRemoved reports whether an entry that the copy shows was removed since. All that is not known was, since the copy is of the same history, unless
// its writer is new. It must be called with the mutex held.
func (f *Follower[T]) wasRemoved(now time.Time, known map[string]T, name string, listed T) bool {
	if _, isKnown := known[name]; isKnown {
		return false
	}
	r, isRemembered := f.removed[name]
	if isRemembered && now.Sub(r.at) <= removedRetention {
		return f.options.Restore.IsSameStart(r.entry, listed)
	}
	for _, k := range known {
		if !f.options.Restore.IsLaterStart(k, listed) {
			return true
		}
	}
	return false
}

// used returns the entries to use. They differ from those that the platform lists while these may be from an older copy of its store. It must
// be called with the mutex held.
func (f *Follower[T]) used(now time.Time) map[string]T {
	if f.restored == nil || !now.Before(f.restored.until) {
		return f.entries
	}
	used := maps.Clone(f.entries)
	for name, listed := range f.entries {
		if known, ok := f.restored.known[name]; ok {
			used[name] = f.options.Restore.Merge(known, listed)
		}
		if f.isWithheld(name, listed) {
			delete(used, name)
		}
	}
	return used
}

// endRestore reports whether the grace period of the policy has ended since the last call. It must be called with the mutex held.
func (f *Follower[T]) endRestore(now time.Time) bool {
	if f.restored == nil || now.Before(f.restored.until) {
		return false
	}
	f.restored = nil
	return true
}
