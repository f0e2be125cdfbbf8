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
}

// restoreState holds what was known of the entries when the platform went back, until the grace period of the policy is over.
type restoreState[T any] struct {
	until   time.Time
	known   map[string]T
	removed map[string]T
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

// beginRestore keeps what is known of the entries now that the platform has gone back and lists the given ones. A removed entry that it does not
// list is not part of the copy: if it is listed later, its writer has written it again. It must be called with the mutex held.
func (f *Follower[T]) beginRestore(now time.Time, listed map[string]T) {
	// Entries that were written since the copy are written again as those are that have lapsed in an outage.
	f.recoveredAt = now
	if f.options.Restore == nil {
		return
	}
	removed := map[string]T{}
	if f.restored != nil {
		maps.Copy(removed, f.restored.removed)
	}
	for name, r := range f.removed {
		if _, isListed := f.entries[name]; !isListed && now.Sub(r.at) <= removedRetention {
			removed[name] = r.entry
		}
	}
	maps.DeleteFunc(removed, func(name string, _ T) bool {
		_, isListed := listed[name]
		return !isListed
	})
	f.restored = &restoreState[T]{until: now.Add(f.options.Restore.Grace), known: f.used(now), removed: removed}
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
		if removed, ok := f.restored.removed[name]; ok && f.options.Restore.IsSameStart(removed, listed) {
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
