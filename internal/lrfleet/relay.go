package lrfleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// A Relayed feed can be read from another instance while the platform is out of reach.
type Relayed interface {
	// Latest returns the revision of the last change that is known.
	Latest() uint64
	// ReadAge returns how long ago any instance is known to have read the feed, and NoteReadAge takes in what another
	// one knows.
	ReadAge(now time.Time) time.Duration
	NoteReadAge(now time.Time, age time.Duration)
	// Encode returns all entries.
	Encode() (map[string][]byte, uint64, error)
	// Decode takes in the entries of another instance.
	Decode(now time.Time, entries map[string][]byte, latest uint64) error
}

// Encode returns the JSON form of all entries.
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

// Decode takes in the JSON form of all entries of another instance.
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
	f.Adopt(now, changes)
	return nil
}
