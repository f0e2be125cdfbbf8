package lrframe

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

const (
	// lingerTimeout and lingerBytes bound how long and how much is read after a refusal, so that the client receives it: a connection that
	// is closed with unread bytes is reset.
	lingerTimeout = 100 * time.Millisecond
	lingerBytes   = 1 << 20
	lingerBuffer  = 2 << 10
	// sendBufferBytes is the size of the kernel's buffer of an answer that the client has not received. The kernel would let it grow to
	// several megabytes for each client that reads slowly.
	sendBufferBytes = 64 << 10
	// ipv6SitePrefix is the length of the part of an IPv6 address that a client cannot choose.
	ipv6SitePrefix = 64
)

// errRefused is the error of reads from a connection that is refused. net/http answers nothing to an error of this type.
var errRefused = errors.New("the connection is refused")

// A conn is the connection of a client. The methods of net.Conn are called by net/http.
type conn struct {
	net.Conn
	gate      *Gate
	inspector inspector
	idle      idleState
	// isTracked is set if the server calls Gate.ConnState. Otherwise the ends of requests are unknown, and nothing is charged for them.
	isTracked bool
	// holder accounts for the memory of the connection, and address is what it is grouped by.
	holder  *lrmemory.Holder
	address string

	mutex sync.Mutex
	// heads are the costs of the requests that are complete and not answered yet, in order. paid is what was taken from the budget for them
	// and for the incomplete one. While a request is served, nothing is taken for those after it.
	heads []completedHead
	paid  int
	// reason is why the connection is refused. It is empty if it is not.
	reason string
	// hasInput is set while a request is being received or served, and isHandled while a handler answers. hasEnded is set when the
	// refusal has been counted, and lingers when the client may still be sending as the connection is closed.
	hasInput  bool
	isHandled bool
	hasEnded  bool
	lingers   bool
	// servedRequests counts the answered requests, and waitsSince is when the connection began to wait for its client.
	servedRequests int
	waitsSince     time.Time
	writeDeadline  time.Time
	closeOnce      sync.Once
}

func newConn(g *Gate, accepted net.Conn) *conn {
	now := time.Now()
	c := &conn{
		Conn: accepted, gate: g, address: addressOf(accepted), waitsSince: now, idle: idleState{acceptedAt: now},
	}
	c.inspector.headLimits = g.headLimits()
	c.holder = g.limits.Memory.NewHolder(c.address, allotmentBytes, c.wake)
	setWriteBuffer(accepted)
	return c
}

func isTLS(c net.Conn) bool {
	_, ok := c.(*tls.Conn)
	return ok
}

func setWriteBuffer(accepted net.Conn) {
	secured, ok := accepted.(*tls.Conn)
	if ok {
		accepted = secured.NetConn()
	}
	buffered, ok := accepted.(interface{ SetWriteBuffer(bytes int) error })
	if ok {
		// It fails only if the connection has already ended.
		_ = buffered.SetWriteBuffer(sendBufferBytes)
	}
}

// addressOf returns the IP address of the client, or the network of an IPv6 address.
func addressOf(c net.Conn) string {
	text := c.RemoteAddr().String()
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return text
	}
	address := parsed.Addr().Unmap()
	if address.Is4() {
		return address.String()
	}
	network, err := address.Prefix(ipv6SitePrefix)
	if err != nil {
		return text
	}
	return network.String()
}

// Read reads and inspects bytes of the connection.
func (c *conn) Read(data []byte) (int, error) {
	if c.mustEnd() {
		return 0, c.end()
	}
	n, err := c.Conn.Read(data)
	if n > 0 && !c.idle.markActive() {
		return 0, net.ErrClosed
	}
	if c.gate == nil {
		c.inspector.inspect(data[:n])
		return n, err
	}
	c.note(data[:n])
	if c.mustEnd() {
		return 0, c.end()
	}
	return n, err
}

// note inspects the bytes and charges what the requests in them cost.
func (c *conn) note(data []byte) {
	if c.inspector.isBetweenRequests() {
		c.inspector.headLimits = c.gate.headLimits()
	}
	c.inspector.inspect(data)
	completed := c.inspector.takeCompleted()
	if !c.isTracked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hasInput = c.hasInput || len(data) > 0
	switch {
	case c.inspector.hasTooManyLines:
		c.refuseLocked(reasonLines)
	case c.inspector.hasTooManyBytes:
		c.refuseLocked(reasonHeaderBytes)
	}
	isServing := len(c.heads) > 0
	c.heads = append(c.heads, completed...)
	if isServing {
		return
	}
	c.payLocked()
	if c.reason != "" {
		// No handler sees the requests.
		c.heads = nil
		return
	}
	c.beginLocked()
}

// payLocked takes what the received requests cost from the budget, or returns what was taken too much. If the budget is used up, the
// connection is refused.
func (c *conn) payLocked() {
	cost := c.inspector.expectedCost()
	for _, h := range c.heads {
		cost += h.cost
	}
	owed := cost - c.paid
	if owed <= 0 {
		c.holder.Release(-owed)
		c.paid = cost
		return
	}
	// Take may wait for other connections, which must not wait for this one.
	c.mutex.Unlock()
	isTaken := c.holder.Take(owed)
	c.mutex.Lock()
	if !isTaken {
		c.refuseLocked(reasonMemory)
		return
	}
	c.paid = cost
}

// beginLocked notes that the first complete request is about to be served. A request without a body cannot be evicted any more.
func (c *conn) beginLocked() {
	if len(c.heads) == 0 || c.heads[0].hasBody {
		return
	}
	if !c.holder.Pin() {
		c.refuseLocked(reasonMemory)
	}
}

// endRequest notes that the first complete request has been answered.
func (c *conn) endRequest() {
	if c.gate == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.holder.Unpin()
	c.servedRequests++
	c.waitsSince = time.Now()
	c.isHandled = false
	c.hasInput = len(c.heads) > 1 || c.inspector.cost > 0
	if len(c.heads) > 0 {
		c.heads = c.heads[1:]
	}
	c.payLocked()
	c.beginLocked()
}

func (c *conn) refuseLocked(reason string) {
	if c.reason == "" {
		c.reason = reason
	}
}

// connOf returns the inspected connection of a request, or nil.
func connOf(ctx context.Context) *conn {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok || c.gate == nil {
		return nil
	}
	return c
}

// beginHandling notes that a handler answers the request.
func (c *conn) beginHandling() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isHandled = true
}

// refusedFor returns the reason why the connection is refused, or an empty string.
func (c *conn) refusedFor() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason == "" && c.holder.IsEvicted() {
		return reasonMemory
	}
	return c.reason
}

// evictFor evicts the connection for the reason, unless it serves a request.
func (c *conn) evictFor(reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.holder.Evict() {
		c.refuseLocked(reason)
	}
}

// wake ends a read that waits for the client, after the connection has been evicted.
func (c *conn) wake() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// isWaiting reports whether the connection waits for its client: for a head, or for the rest of a body.
func (c *conn) isWaiting() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.heads) == 0 || c.heads[0].hasBody
}

// compareAge orders connections that have never been served before others, and those that wait longer before others.
func (c *conn) compareAge(other *conn) int {
	served, since := c.age()
	otherServed, otherSince := other.age()
	return cmp.Or(cmp.Compare(min(served, 1), min(otherServed, 1)), since.Compare(otherSince))
}

func (c *conn) age() (served int, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.servedRequests, c.waitsSince
}

// SetReadDeadline sets the read deadline, unless the connection has been evicted.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.gate != nil && c.holder.IsEvicted() {
		c.wake()
	}
	return err
}

// SetWriteDeadline sets the write deadline of the answer. Each write has to end within the write timeout, too.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = deadline
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// Write writes bytes of an answer. It fails if the client does not receive them within the write timeout, or none of them within the stall
// timeout.
func (c *conn) Write(data []byte) (int, error) {
	if c.gate == nil || c.gate.limits.WriteTimeout == 0 || c.gate.limits.StallTimeout == 0 {
		return c.Conn.Write(data)
	}
	end := time.Now().Add(c.gate.limits.WriteTimeout)
	c.mutex.Lock()
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(end) {
		end = c.writeDeadline
	}
	c.mutex.Unlock()
	for total := 0; ; {
		stalledAt := time.Now().Add(c.gate.limits.StallTimeout)
		if stalledAt.After(end) {
			stalledAt = end
		}
		_ = c.Conn.SetWriteDeadline(stalledAt)
		n, err := c.Conn.Write(data[total:])
		total += n
		// A TLS connection cannot be used any more after a write that timed out.
		if err == nil || n == 0 || isTLS(c.Conn) || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end) {
			return total, err
		}
	}
}
