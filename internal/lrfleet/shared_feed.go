package lrfleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// A SharedFeed feed can be fetched from another instance while the platform is unreachable.
type SharedFeed interface {
	// Latest returns the revision of the latest known change.
	Latest() uint64
	// ReadAge returns how long ago any instance is known to have read the feed from the platform. RecordReadAge merges the age that
	// another instance knows.
	ReadAge(now time.Time) time.Duration
	RecordReadAge(now time.Time, age time.Duration)
	// Encode returns the JSON form of all entries by name, and the revision of the latest change.
	Encode() (map[string][]byte, uint64, error)
	// Decode applies entries that another instance has encoded.
	Decode(now time.Time, entries map[string][]byte, latest uint64) error
}

// Encode returns the JSON form of all entries by name, and the revision of the latest change.
func (f *Follower[T]) Encode() (map[string][]byte, uint64, error) {
	snapshot := f.Snapshot()
	encoded := make(map[string][]byte, len(snapshot.Set))
	for name, entry := range snapshot.Set {
		data, err := json.Marshal(entry)
		if err != nil {
			return nil, 0, fmt.Errorf("encode %s %s: %w", f.options.Name, name, err)
		}
		encoded[name] = data
	}
	return encoded, snapshot.Latest, nil
}

// Decode applies the JSON form of all entries of another instance. It does nothing if the instance already has their revision.
func (f *Follower[T]) Decode(now time.Time, entries map[string][]byte, latest uint64) error {
	changes := Changes[T]{Set: make(map[string]T, len(entries)), Latest: latest}
	for name, data := range entries {
		var entry T
		err := json.Unmarshal(data, &entry)
		if err != nil {
			return fmt.Errorf("decode %s %s: %w", f.options.Name, name, err)
		}
		changes.Set[name] = entry
	}
	f.ReplaceFromPeer(now, changes)
	return nil
}
