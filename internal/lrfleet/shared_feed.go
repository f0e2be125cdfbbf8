package lrfleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// A SharedFeed is a feed whose entries instances take over from one another, so that not all of them read the platform.
type SharedFeed interface {
	// Version identifies the entries that this instance holds.
	Version() FeedVersion
	// IsBehind reports whether entries of the version include changes that the own ones lack.
	IsBehind(version FeedVersion) bool
	// Stats counts what has become of the answers of the platform.
	Stats() FeedStats
	// Report returns what other instances need to know: the version of the entries, and how long ago any instance is known to have read
	// the feed from the platform.
	Report(now time.Time) (FeedVersion, time.Duration)
	// RecordReport applies the report of another instance. It reports whether the entries of that instance supersede the own ones.
	RecordReport(now time.Time, version FeedVersion, age time.Duration) (isBehind bool)
	// Encode returns the JSON form of all entries by name, and their version.
	Encode() (map[string][]byte, FeedVersion, error)
	// Decode applies entries of the version that another instance has encoded, if they supersede the own ones.
	Decode(now time.Time, entries map[string][]byte, version FeedVersion) error
	// RestoredEntries returns what is known of entries that the platform shows in an earlier state since it has come back from a copy.
	RestoredEntries(now time.Time) []RestoredEntry
	// RecordRestored applies what another instance knows of such entries, if this one has started after the platform came back.
	RecordRestored(now time.Time, entries []RestoredEntry)
}

// Encode returns the JSON form of all entries by name, and their version.
func (f *Follower[T]) Encode() (map[string][]byte, FeedVersion, error) {
	snapshot, version := f.snapshot()
	encoded := make(map[string][]byte, len(snapshot.Set))
	for name, entry := range snapshot.Set {
		data, err := json.Marshal(entry)
		if err != nil {
			return nil, FeedVersion{}, fmt.Errorf("encode %s %s: %w", f.options.Name, name, err)
		}
		encoded[name] = data
	}
	return encoded, version, nil
}

// Decode applies the JSON form of all entries of another instance. It does nothing if the own entries include changes up to their
// version.
func (f *Follower[T]) Decode(now time.Time, entries map[string][]byte, version FeedVersion) error {
	changes := Changes[T]{Set: make(map[string]T, len(entries))}
	for name, data := range entries {
		var entry T
		err := json.Unmarshal(data, &entry)
		if err != nil {
			return fmt.Errorf("decode %s %s: %w", f.options.Name, name, err)
		}
		changes.Set[name] = entry
	}
	f.ReplaceFromPeer(now, version, changes)
	return nil
}
