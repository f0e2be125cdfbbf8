package lrframe

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Idle connections are closed after bytes of a request have been read, but before net/http has reported the connection as active. The
// request must not be lost.
func TestConnectionWithReadRequestStaysOpen(t *testing.T) {
	now := time.Now()
	closer := NewIdleCloser()
	c, remote := newTestConn(now.Add(-time.Minute))
	closer.ConnState(c, http.StateNew)
	go func() { _, _ = io.WriteString(remote, "G") }()
	var one [1]byte
	_, err := c.Read(one[:])
	requireEqual(t, err, nil)
	requireEqual(t, closer.CloseIdle(now), 1)
	go func() { _, _ = io.WriteString(remote, "E") }()
	_, err = c.Read(one[:])
	requireEqual(t, err, nil)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	now := time.Now()
	closer := NewIdleCloser()
	c, remote := newTestConn(now.Add(-time.Minute))
	closer.ConnState(c, http.StateNew)
	closer.ConnState(c, http.StateIdle)
	closer.CloseIdle(now)
	var one [1]byte
	_, err := remote.Read(one[:])
	requireEqual(t, err, io.EOF)
	closer.ConnState(c, http.StateClosed)
	requireEqual(t, closer.CloseIdle(now), 0)
}

// A new connection whose first request is on its way must not be closed.
func TestNewConnectionStaysOpen(t *testing.T) {
	now := time.Now()
	closer := NewIdleCloser()
	c, remote := newTestConn(now)
	closer.ConnState(c, http.StateNew)
	requireEqual(t, closer.CloseIdle(now.Add(time.Millisecond)), 1)
	go func() { _, _ = io.WriteString(remote, "G") }()
	var one [1]byte
	_, err := c.Read(one[:])
	requireEqual(t, err, nil)
}

func newTestConn(acceptedAt time.Time) (local *conn, remote net.Conn) {
	a, b := net.Pipe()
	return &conn{Conn: a, inspector: inspector{headLimits: headLimits{maxHead: 1 << 10}}, idle: idleState{acceptedAt: acceptedAt}}, b
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
