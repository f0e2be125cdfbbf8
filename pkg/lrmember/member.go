// Package lrmember maintains the list of live instances of the router by gossip.
//
// Each instance has a Table of all members. It periodically probes one member and exchanges messages with a few others.
// A message carries records of members that changed and a digest of all live members; when the digests differ, the two
// sides exchange all their records. A member that does not answer becomes a suspect, and is declared dead unless it
// refutes the suspicion in time with a higher heartbeat.
package lrmember

import (
	"encoding/binary"
	"hash/fnv"
)

// A State is the liveness of a member as other members see it.
type State uint8

const (
	// Alive members are not under suspicion.
	Alive State = iota
	// Suspect members did not answer and can still refute the suspicion.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
)

// A Member is what is known of one instance.
type Member struct {
	Name        string
	Zone        string
	PeerAddress string
	// Incarnation increases with each start of a process under this name.
	Incarnation uint64
	// Heartbeat increases with each statement that the member makes about itself.
	Heartbeat uint64
	Leaving   bool
	// ConfigVersion is the version of the configuration that the member had at the last direct exchange.
	ConfigVersion uint64
	State         State
}

// WithHeartbeat returns the member with another heartbeat.
func (m Member) WithHeartbeat(heartbeat uint64) Member {
	m.Heartbeat = heartbeat
	return m
}

// WithState returns the member with another state.
func (m Member) WithState(state State) Member {
	m.State = state
	return m
}

// WithLeaving returns the member marked as leaving.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// Supersedes reports whether the record is newer than the other one of the same name.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Heartbeat != other.Heartbeat {
		return m.Heartbeat > other.Heartbeat
	}
	return m.State > other.State
}

// digest returns a hash of what the member states about itself.
func (m Member) digest() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(m.Name))
	var numbers [17]byte
	binary.LittleEndian.PutUint64(numbers[:], m.Incarnation)
	binary.LittleEndian.PutUint64(numbers[8:], m.Heartbeat)
	if m.Leaving {
		numbers[16] = 1
	}
	_, _ = hash.Write(numbers[:])
	return hash.Sum64()
}
