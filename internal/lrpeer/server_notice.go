package lrpeer

import "time"

// A ServerNotice tells other instances what this one has seen of a backend server.
type ServerNotice struct {
	Name    string
	Leaving bool
	// Incarnation is that of the backend server as the sender saw it.
	Incarnation  string
	QueuedTokens uint32
}

// A ServerBoard gives the notices that go out with heartbeats and takes those that come in.
type ServerBoard interface {
	// Notices returns what goes out with the next message, at most limit of them, the most urgent first.
	Notices(now time.Time, limit int) []ServerNotice
	// TakeNotices takes in what another instance has told.
	TakeNotices(now time.Time, notices []ServerNotice)
}
