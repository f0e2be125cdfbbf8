// Package lrnotice holds what backend servers say of themselves in the heads of their answers: that they take only so many requests a
// second from all instances together, that they are leaving, or that they want a pause.
//
// A Board keeps the latest notice of each server and decides whether a request may be sent there. It has no I/O.
package lrnotice

import "time"

// A Notice is what a backend server says of itself in the head of one answer. The zero Notice says nothing.
type Notice struct {
	// HasLimit is set when the server names a limit, and Limit is that limit in requests a second, over all instances.
	HasLimit bool
	Limit    float64
	// IsLimitUnreadable is set when the server names a limit that cannot be read. What is known of its limit then stays.
	IsLimitUnreadable bool
	// IsLeaving is set when the server takes no new requests because it is about to end.
	IsLeaving bool
	// Pause is how long the server wants no requests from this instance. It is zero when the server asks for no pause.
	Pause time.Duration
}

// A Server identifies one start of a backend server.
type Server struct {
	ID string
	// Incarnation grows with each start of the server.
	Incarnation int64
}
