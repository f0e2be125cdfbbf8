package lrfleet

import (
	"sync"
	"time"
)

// spread keeps notes that every instance shall hear once. A note is passed on for a while after it was first heard, so
// that it does not go round for ever.
type spread[T comparable] struct {
	tellFor time.Duration
	// keepFor is how long a note is known, so that it is not taken for a new one. It exceeds tellFor.
	keepFor time.Duration
	mutex   sync.Mutex
	heard   map[T]time.Time
}

func newSpread[T comparable](tellFor, keepFor time.Duration) *spread[T] {
	return &spread[T]{tellFor: tellFor, keepFor: keepFor, heard: map[T]time.Time{}}
}

// add notes a note and reports whether it is new.
func (s *spread[T]) add(now time.Time, note T) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, ok := s.heard[note]
	if ok && now.Sub(at) < s.keepFor {
		return false
	}
	s.heard[note] = now
	return true
}

// news returns the notes that are to be told now.
func (s *spread[T]) news(now time.Time) []T {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var told []T
	for note, at := range s.heard {
		age := now.Sub(at)
		if age >= s.keepFor {
			delete(s.heard, note)
		}
		if age < s.tellFor {
			told = append(told, note)
		}
	}
	return told
}
