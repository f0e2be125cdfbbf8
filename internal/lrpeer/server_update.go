package lrpeer

import "time"

// A ServerNotice is the state of a backend server that an instance reports to others.
type ServerNotice struct {
	Name    string
	Leaving bool
	// Incarnation identifies the process of the backend server that the sender observed.
	Incarnation  string
	QueuedTokens uint32
}

// A ServerBoard supplies the backend server updates that are sent with heartbeats and applies those that are received.
type ServerBoard interface {
	// Notices returns at most limit updates for the next message, the most urgent first.
	Notices(now time.Time, limit int) []ServerNotice
	// TakeNotices applies the updates received from another instance.
	TakeNotices(now time.Time, updates []ServerNotice)
}
