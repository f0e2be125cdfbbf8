// Package lrmember decides which instances of the daemon are alive, from what the instances tell one another.
package lrmember

import (
	"encoding/binary"
	"hash/fnv"
)

// A State says how a member is believed to be.
type State uint8

const (
	// Alive members have answered, or nobody has said otherwise.
	Alive State = iota
	// Suspect members did not answer and may still refute it.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
)

// A Member is one instance of the daemon as it is known.
type Member struct {
	Name        string
	Zone        string
	PeerAddress string
	// Incarnation rises with each start of the process under this name.
	Incarnation uint64
	// Heartbeat rises with each statement that the member makes about itself.
	Heartbeat uint64
	Leaving   bool
	// ConfigVersion is the version that the member had at the last direct contact.
	ConfigVersion uint64
	State         State
}

// WithHeartbeat returns the member after a further statement about itself.
func (m Member) WithHeartbeat(heartbeat uint64) Member {
	m.Heartbeat = heartbeat
	return m
}

// WithState returns the member in another state.
func (m Member) WithState(state State) Member {
	m.State = state
	return m
}

// WithLeaving returns the member marked as leaving.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// Supersedes reports whether the member is later news of the same name than the other one.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Heartbeat != other.Heartbeat {
		return m.Heartbeat > other.Heartbeat
	}
	return m.State > other.State
}

// digest returns a hash of what the member says about itself.
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
