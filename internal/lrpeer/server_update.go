package lrpeer

import "time"

// A ServerUpdate is the state of a backend server that an instance reports to others.
type ServerUpdate struct {
	Name    string
	Leaving bool
	// Incarnation identifies the process of the backend server that the sender observed.
	Incarnation  string
	QueuedTokens uint32
}

// A ServerUpdates supplies the backend server updates that are sent with heartbeats and applies those that are received.
type ServerUpdates interface {
	// NextUpdates returns at most limit updates for the next message, the most urgent first.
	NextUpdates(now time.Time, limit int) []ServerUpdate
	// ApplyUpdates applies the updates received from another instance.
	ApplyUpdates(now time.Time, updates []ServerUpdate)
}
