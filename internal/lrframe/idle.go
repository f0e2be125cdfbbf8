package lrframe

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a connection without any byte counts as one whose first request is on its way.
const newConnGrace = time.Second

// idleness tells whether a connection carries a request. A connection is closed as idle only under its mutex, so that
// no request that has been read is lost.
type idleness struct {
	mutex    sync.Mutex
	isActive bool
	isClosed bool
	since    time.Time
}

// begin notes that bytes of a request have been read. It reports false when the connection was closed before.
func (i *idleness) begin() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.isActive = true
	return !i.isClosed
}

// end notes that the last request has been answered.
func (i *idleness) end() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.isActive = false
	i.since = time.Time{}
}

// closeIfIdle calls the function if no byte of a further request has been read.
func (i *idleness) closeIfIdle(now time.Time, closeConn func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.isActive || i.isClosed || now.Sub(i.since) < newConnGrace {
		return
	}
	i.isClosed = true
	closeConn()
}

// An Idler closes connections that carry no request, and no others. http.Server.Shutdown may close a connection in the
// moment in which its next request has been read.
type Idler struct {
	mutex sync.Mutex
	conns map[*conn]bool
}

// NewIdler returns an Idler without connections.
func NewIdler() *Idler { return &Idler{conns: map[*conn]bool{}} }

// ConnState follows the connections of a server. It fits http.Server.
func (i *Idler) ConnState(c net.Conn, state http.ConnState) {
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
		inspected.idle.end()
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, inspected)
	case http.StateActive:
	}
}

// CloseIdle closes the connections without a request and returns the number of those that are open still.
func (i *Idler) CloseIdle(now time.Time) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.conns {
		c.idle.closeIfIdle(now, func() { _ = c.Close() })
	}
	return len(i.conns)
}
