package lrframe

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a new connection without any byte is kept open, since its first request may be on its way.
const newConnGrace = time.Second

// idleState tracks whether a connection carries a request. A connection is closed as idle only while the mutex is held, so that no
// request is lost whose bytes have been read.
type idleState struct {
	mutex    sync.Mutex
	isActive bool
	isClosed bool
	// acceptedAt is when the connection was accepted. It is zero once the connection has served a request.
	acceptedAt time.Time
}

// markActive records that bytes of a request have been read. It returns false if the connection has been closed.
func (i *idleState) markActive() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.isActive = true
	return !i.isClosed
}

// markIdle records that the last request has been answered.
func (i *idleState) markIdle() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.isActive = false
	i.acceptedAt = time.Time{}
}

// closeIfIdle calls closeConn if no byte of a further request has been read.
func (i *idleState) closeIfIdle(now time.Time, closeConn func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.isActive || i.isClosed || now.Sub(i.acceptedAt) < newConnGrace {
		return
	}
	i.isClosed = true
	closeConn()
}

// An IdleCloser closes only connections that carry no request. http.Server.Shutdown, in contrast, may close a connection at the moment
// at which its next request has been read.
type IdleCloser struct {
	mutex sync.Mutex
	conns map[*conn]bool
}

// NewIdleCloser returns an IdleCloser without connections.
func NewIdleCloser() *IdleCloser { return &IdleCloser{conns: map[*conn]bool{}} }

// ConnState tracks the connections of a server. It is meant for the field of this name in http.Server.
func (i *IdleCloser) ConnState(c net.Conn, state http.ConnState) {
	inspected, ok := c.(*conn)
	if !ok {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch state {
	case http.StateNew:
		i.conns[inspected] = true
	case http.StateIdle:
		inspected.idle.markIdle()
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, inspected)
	case http.StateActive:
	}
}

// CloseIdle closes the connections without a request and returns the number of connections that net/http has not reported as closed yet.
func (i *IdleCloser) CloseIdle(now time.Time) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.conns {
		c.idle.closeIfIdle(now, func() { _ = c.Close() })
	}
	return len(i.conns)
}
