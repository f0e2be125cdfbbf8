package lrframe

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evictionShare divides the number of connections: that part is closed at once when there are too many, so that the search for them is
	// not repeated for each new connection.
	evictionShare = 16
	// maxAcceptWait is how long a new connection waits for the end of those that were closed for it.
	maxAcceptWait = 100 * time.Millisecond
	// refuseTimeout bounds the write of a refusal to a connection that is not accepted.
	refuseTimeout = 10 * time.Millisecond
)

// A Gate holds the clients of a listener within limits. It closes the connections that cost most, or wait longest for their client, in
// favour of others.
type Gate struct {
	limits Limits
	stats  *Stats
	// raisedHeaderBytes is the size of heads up to which MaxHeaderBytes was raised.
	raisedHeaderBytes atomic.Int64
	mutex             sync.Mutex
	conns             map[*conn]bool
	// closed is closed when a connection has ended. It is nil while nobody waits.
	closed chan struct{}
}

// NewGate returns a Gate without connections.
func NewGate(limits Limits, stats *Stats) *Gate {
	return &Gate{limits: limits.withDefaults(), stats: stats, conns: map[*conn]bool{}}
}

// RaiseMaxHeaderBytes sets the size up to which heads are accepted. Below MaxHeaderBytes it has no effect. It applies from the next request of
// each connection on.
func (g *Gate) RaiseMaxHeaderBytes(bytes int) { g.raisedHeaderBytes.Store(int64(bytes)) }

// headLimits returns the limits of the next head.
func (g *Gate) headLimits() headLimits {
	bytes := max(g.limits.MaxHeaderBytes, int(g.raisedHeaderBytes.Load()))
	lines := g.limits.MaxHeaderLines
	if lines == 0 {
		lines = bytes / minLineBytes
	}
	return headLimits{maxHead: bytes + netHTTPSlack, maxLines: lines}
}

// Listener returns a listener whose connections are inspected and held within the limits.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

// Connections returns the number of open connections.
func (g *Gate) Connections() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.conns)
}

// ConnState tracks the connections of a server. It is meant for the field of this name in http.Server.
func (*Gate) ConnState(c net.Conn, state http.ConnState) {
	inspected, ok := c.(*conn)
	switch {
	case !ok:
	case state == http.StateNew:
		inspected.isTracked = true
	case state == http.StateIdle:
		inspected.endRequest()
	}
}

// Handler returns a handler that bounds the time in which the body of a request must arrive, and closes the connection after a chunked
// request, since the bytes after such a request are not inspected.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return CloseAfterChunked(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c != nil {
			c.beginHandling()
		}
		if r.Body != http.NoBody && g.limits.BodyTimeout > 0 {
			// Without a body net/http is already waiting for the next request, and the end of the deadline would cancel this one.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
		}
		next.ServeHTTP(w, r)
	}))
}

// admit returns the inspected connection, or nil if there are too many.
func (g *Gate) admit(accepted net.Conn) *conn {
	c := newConn(g, accepted)
	end := time.Now().Add(maxAcceptWait)
	for !g.add(c) {
		if !g.awaitClosed(end) {
			g.refuse(c)
			return nil
		}
	}
	return c
}

// add adds the connection if there is room for it, and makes room where it can.
func (g *Gate) add(c *conn) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.limits.MaxConnections > 0 && len(g.conns) >= g.limits.MaxConnections {
		g.evictWaiting()
		return false
	}
	g.conns[c] = true
	return true
}

// awaitClosed waits until a connection has ended, and reports whether one has.
func (g *Gate) awaitClosed(end time.Time) bool {
	g.mutex.Lock()
	if len(g.conns) < g.limits.MaxConnections {
		g.mutex.Unlock()
		return true
	}
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
	closed := g.closed
	g.mutex.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}

// evictWaiting closes connections whose clients have sent no complete request. Those of the address with the most of them go first, among
// them those that have never been served, and then those that wait longest. The caller holds the mutex.
func (g *Gate) evictWaiting() {
	count := len(g.conns)/evictionShare + 1
	perAddress := map[string]int{}
	var waiting []*conn
	for c := range g.conns {
		if c.holder.IsEvicted() {
			// It ends by itself.
			count--
			continue
		}
		if c.isWaiting() {
			waiting = append(waiting, c)
			perAddress[c.address]++
		}
	}
	if count <= 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(perAddress[b.address], perAddress[a.address]), a.compareAge(b))
	})
	for _, c := range waiting[:min(count, len(waiting))] {
		c.evictFor(reasonConnections)
	}
}

// remove removes a connection that has ended.
func (g *Gate) remove(c *conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.conns, c)
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// refuse writes a refusal to a connection that was not accepted, and closes it.
func (g *Gate) refuse(c *conn) {
	g.stats.count(time.Now(), reasonConnections, c.address)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = c.Conn.Write(g.encode(refusalFor(reasonConnections)))
	_ = c.Conn.Close()
	c.holder.Close()
}
