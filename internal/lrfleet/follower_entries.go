package lrfleet

import (
	"math/rand/v2"
	"reflect"
	"time"
)

// laterThanOwn returns the listed entries that are missing here or later than the own ones. An equal one of another instance may lack fields
// that its software does not know. It must be called with the mutex held.
func (f *Follower[T]) laterThanOwn(listed map[string]T) map[string]T {
	merged := make(map[string]T, len(listed))
	for name, entry := range listed {
		own, ok := f.entries[name]
		if ok {
			entry = f.options.Latest(entry, own)
		}
		merged[name] = entry
	}
	return merged
}

// missingFrom returns the names of the entries that the list of all entries lacks.
func missingFrom[T any](list, entries map[string]T) []string {
	var missing []string
	for name := range entries {
		if _, ok := list[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

// digest returns the digest of the entries that the platform lists. It must be called with the mutex held.
func (f *Follower[T]) digest() uint64 {
	sum := uint64(0)
	for name, digest := range f.digests {
		if _, isMissing := f.missing[name]; !isMissing {
			sum += digest
		}
	}
	return sum
}

// set puts the listed entries into entries and reports whether one has changed. It must be called with the mutex held.
func (f *Follower[T]) set(entries, listed map[string]T) bool {
	changed := false
	for name, entry := range listed {
		delete(f.missing, name)
		before, ok := entries[name]
		if ok && f.options.Latest != nil {
			entry = f.options.Latest(before, entry)
		}
		if ok && reflect.DeepEqual(before, entry) {
			continue
		}
		changed = true
		entries[name] = entry
		f.digests[name] = f.digestOf(name, entry)
	}
	return changed
}

// digestOf returns the digest of an entry. An entry without a JSON form is sent to no other instance, so that its digest matches none.
func (f *Follower[T]) digestOf(name string, entry T) uint64 {
	digest, err := entryDigest(name, entry)
	if err != nil {
		f.log.Error().Err(err).Str("feed", f.options.Name).Str("name", name).Msg("fleet: entry cannot be sent to other instances")
		return rand.Uint64()
	}
	return digest
}

// remove deletes entries that are no longer listed, and reports whether there was one. Within the grace period after an outage it marks
// them as missing instead. It must be called with the mutex held.
func (f *Follower[T]) remove(now time.Time, entries map[string]T, names []string) bool {
	isRemoved := false
	graceEnd := f.recoveredAt.Add(f.options.LapseGrace)
	for _, name := range names {
		if _, ok := entries[name]; !ok {
			continue
		}
		if now.Before(graceEnd) {
			f.missing[name] = graceEnd
			continue
		}
		isRemoved = true
		f.rememberRemoved(now, name, entries[name])
		f.forget(entries, name)
	}
	return isRemoved
}

// forget deletes the entry. It must be called with the mutex held.
func (f *Follower[T]) forget(entries map[string]T, name string) {
	delete(entries, name)
	delete(f.digests, name)
	delete(f.missing, name)
}

// expire deletes the missing entries whose grace period is over and reports whether there was one. It must be called with the mutex held.
func (f *Follower[T]) expire(now time.Time, entries map[string]T) bool {
	expired := false
	for name, end := range f.missing {
		if !now.Before(end) {
			expired = true
			f.rememberRemoved(now, name, entries[name])
			f.forget(entries, name)
		}
	}
	return expired
}
