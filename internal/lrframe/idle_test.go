package lrframe

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestThatHasBeenReadKeepsItsConnection closes idle connections while bytes of a request have been read that the
// server has not noted yet.
func TestRequestThatHasBeenReadKeepsItsConnection(t *testing.T) {
	now := time.Now()
	idler := NewIdler()
	c, far := newTestConn(now.Add(-time.Minute))
	idler.ConnState(c, http.StateNew)
	go func() { _, _ = io.WriteString(far, "G") }()
	var one [1]byte
	_, err := c.Read(one[:])
	requireEqual(t, err, nil)
	requireEqual(t, idler.CloseIdle(now), 1)
	go func() { _, _ = io.WriteString(far, "E") }()
	_, err = c.Read(one[:])
	requireEqual(t, err, nil)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	now := time.Now()
	idler := NewIdler()
	c, far := newTestConn(now.Add(-time.Minute))
	idler.ConnState(c, http.StateNew)
	idler.ConnState(c, http.StateIdle)
	idler.CloseIdle(now)
	var one [1]byte
	_, err := far.Read(one[:])
	requireEqual(t, err, io.EOF)
	idler.ConnState(c, http.StateClosed)
	requireEqual(t, idler.CloseIdle(now), 0)
}

// TestNewConnectionIsLeftOpen leaves a connection open whose first request is on its way.
func TestNewConnectionIsLeftOpen(t *testing.T) {
	now := time.Now()
	idler := NewIdler()
	c, far := newTestConn(now)
	idler.ConnState(c, http.StateNew)
	requireEqual(t, idler.CloseIdle(now.Add(time.Millisecond)), 1)
	go func() { _, _ = io.WriteString(far, "G") }()
	var one [1]byte
	_, err := c.Read(one[:])
	requireEqual(t, err, nil)
}

func newTestConn(since time.Time) (near *conn, far net.Conn) {
	a, b := net.Pipe()
	return &conn{Conn: a, inspector: inspector{maxHead: 1 << 10}, idle: idleness{since: since}}, b
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
