package lrfleet

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// A RestoredEntry is what an instance knows of an entry that the platform shows in an earlier state, since its store has come back from an older
// copy.
type RestoredEntry struct {
	Name string
	// Era is the era of the store that came back.
	Era uint64
	// Entry is the later state of the entry in its JSON form, or the last one if it was removed.
	Entry     []byte
	IsRemoved bool
	// Remaining is how long the platform's entry may still be from the copy.
	Remaining time.Duration
}

// RestoredEntries returns what is known of entries that the platform shows in an earlier state since it has come back from a copy. Entries that
// are only taken for removed, because this instance did not know them, are left out.
func (f *Follower[T]) RestoredEntries(now time.Time) []RestoredEntry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.restored == nil || !now.Before(f.restored.until) {
		return nil
	}
	if !f.restored.isToldCurrent {
		f.restored.told, f.restored.isToldCurrent = f.restoredEntries(), true
	}
	entries := slices.Clone(f.restored.told)
	for n := range entries {
		entries[n].Remaining = f.restored.until.Sub(now)
	}
	return entries
}

// restoredEntries returns the entries for other instances without the remaining time. It must be called with the mutex held.
func (f *Follower[T]) restoredEntries() []RestoredEntry {
	var restored []RestoredEntry
	add := func(name string, entry T, isRemoved bool) {
		data, err := json.Marshal(entry)
		if err != nil {
			f.log.Error().Err(err).Str("feed", f.options.Name).Str("name", name).Msg("fleet: entry cannot be sent to other instances")
			return
		}
		restored = append(restored, RestoredEntry{Name: name, Era: f.version.Era, Entry: data, IsRemoved: isRemoved})
	}
	for name, listed := range f.entries {
		known, isKnown := f.restored.known[name]
		if isKnown && !reflect.DeepEqual(f.options.Restore.Merge(known, listed), listed) {
			add(name, known, false)
		}
		if removed, ok := f.knownRemoved(name); ok && f.isWithheld(name, listed) {
			add(name, removed, true)
		}
	}
	return restored
}

// isWithheld reports whether the listed entry is from the copy and was removed since. It must be called with the mutex held.
func (f *Follower[T]) isWithheld(name string, listed T) bool {
	removed, ok := f.restored.removed[name]
	return ok && f.options.Restore.IsSameStart(removed, listed)
}

// knownRemoved returns the last state of the entry if it is known to have been removed, by this instance or by one that has told it. It must be
// called with the mutex held.
func (f *Follower[T]) knownRemoved(name string) (T, bool) {
	if f.restored.isTold {
		told, ok := f.restored.removed[name]
		return told, ok
	}
	remembered, ok := f.removed[name]
	return remembered.entry, ok
}

// RecordRestored applies what another instance knows of entries that the platform shows in an earlier state. One that has read the platform
// before it came back goes by what it knows itself.
func (f *Follower[T]) RecordRestored(now time.Time, entries []RestoredEntry) {
	if len(entries) == 0 || f.options.Restore == nil {
		return
	}
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	f.mutex.Lock()
	isChanged := false
	for _, e := range entries {
		isChanged = f.recordRestored(now, e) || isChanged
	}
	var used map[string]T
	if isChanged {
		used = f.used(now)
	}
	f.mutex.Unlock()
	if isChanged {
		f.onChange(now, used)
	}
}

// recordRestored applies one entry and reports whether it tells something new. The first one sets for how long all of this era count, so that
// instances which tell one another do not keep them alive. It must be called with the mutex held.
func (f *Follower[T]) recordRestored(now time.Time, e RestoredEntry) bool {
	isTelling := f.restored != nil && f.restored.isTold
	isFirst := f.restored == nil && e.Era > f.restoredEra
	_, isListed := f.entries[e.Name]
	if !isTelling && !isFirst || !isListed || e.Era != f.version.Era || e.Remaining <= 0 || e.Remaining > f.options.Restore.Grace {
		return false
	}
	var entry T
	err := json.Unmarshal(e.Entry, &entry)
	if err != nil {
		f.log.Warn().Err(err).Str("feed", f.options.Name).Str("name", e.Name).Msg("fleet: entry of another instance is unreadable")
		return false
	}
	if isFirst {
		f.restoredEra = e.Era
		f.restored = &restoreState[T]{until: now.Add(e.Remaining), known: map[string]T{}, removed: map[string]T{}, isTold: true}
	}
	told := f.restored.known
	if e.IsRemoved {
		told = f.restored.removed
	}
	_, isTold := told[e.Name]
	if isTold {
		return false
	}
	told[e.Name] = entry
	f.restored.isToldCurrent = false
	return true
}

// encodeRestored returns the form of the entries in a message.
func encodeRestored(feed string, entries []RestoredEntry) []*lrpeerpb.RestoredEntry {
	encoded := make([]*lrpeerpb.RestoredEntry, 0, len(entries))
	for _, e := range entries {
		encoded = append(encoded, &lrpeerpb.RestoredEntry{
			Feed: feed, Name: e.Name, Era: e.Era, Entry: e.Entry, IsRemoved: e.IsRemoved, RemainingMillis: uint32(e.Remaining.Milliseconds()),
		})
	}
	return encoded
}

// recordRestored applies the entries of all feeds in a message.
func (s *Sharer) recordRestored(now time.Time, encoded []*lrpeerpb.RestoredEntry) {
	byFeed := map[string][]RestoredEntry{}
	for _, e := range encoded {
		byFeed[e.GetFeed()] = append(byFeed[e.GetFeed()], RestoredEntry{
			Name: e.GetName(), Era: e.GetEra(), Entry: e.GetEntry(), IsRemoved: e.GetIsRemoved(), Remaining: millis(e.GetRemainingMillis()),
		})
	}
	for _, feed := range slices.Sorted(maps.Keys(byFeed)) {
		if f, ok := s.Feeds[feed]; ok {
			f.RecordRestored(now, byFeed[feed])
		}
	}
}
