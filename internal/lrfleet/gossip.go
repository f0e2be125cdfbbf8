package lrfleet

import (
	"sync"
	"time"
)

// gossip holds updates that every instance must receive. An instance passes each update on for a limited time after it first received it,
// so that updates do not circulate forever.
type gossip[T comparable] struct {
	sendFor time.Duration
	// keepFor is how long an update is remembered as known. It exceeds sendFor, so that an update that still circulates is not taken for
	// a new one.
	keepFor    time.Duration
	mutex      sync.Mutex
	receivedAt map[T]time.Time
}

func newGossip[T comparable](sendFor, keepFor time.Duration) *gossip[T] {
	return &gossip[T]{sendFor: sendFor, keepFor: keepFor, receivedAt: map[T]time.Time{}}
}

// add stores an update and reports whether it is new.
func (s *gossip[T]) add(now time.Time, update T) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, ok := s.receivedAt[update]
	if ok && now.Sub(at) < s.keepFor {
		return false
	}
	s.receivedAt[update] = now
	return true
}

// updates returns the updates to send now, and drops expired ones.
func (s *gossip[T]) updates(now time.Time) []T {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var due []T
	for update, at := range s.receivedAt {
		age := now.Sub(at)
		if age >= s.keepFor {
			delete(s.receivedAt, update)
		}
		if age < s.sendFor {
			due = append(due, update)
		}
	}
	return due
}
