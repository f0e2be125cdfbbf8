package lrconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// ErrNotSent means that no byte of the request was sent. It may be sent to another server.
var ErrNotSent = errs.Class("request was not sent, another backend server may take it")

// ErrRefused means that nothing listens at the address. The error is an ErrNotSent, too.
var ErrRefused = errs.Class("nobody listens at the address of the backend server")

// ErrHeldBack means that the request failed the check before its first byte was written. The error is an ErrNotSent, too.
var ErrHeldBack = errs.Class("request was held back, ask for permission again")

// ErrBroken means that the connection broke after the request was sent. It may have run.
var ErrBroken = errs.Class("connection to the backend server broke, the request may have run")

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which limits how long sent bytes may stay unacknowledged.
const tcpUserTimeout = 0x12

// Options are the settings of a Pool.
type Options struct {
	// IDHeader is the header in which answers carry the ID of their request.
	IDHeader string
	// DialTimeout limits how long it may take to connect.
	DialTimeout time.Duration
	// AckTimeout limits how long sent bytes may stay unacknowledged. It is also the idle time after which keep-alive probes start.
	AckTimeout time.Duration
	// HeadTimeout limits the time from the first byte of the head of an answer to its end. Zero means no limit.
	HeadTimeout time.Duration
}

// A Pool keeps idle connections to backend servers for reuse. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	clock   func() time.Time
	mutex   sync.Mutex
	// idle and open are by address. open counts the connections that are in use or idle.
	idle map[string][]*conn
	open map[string]int
}

// NewPool returns an empty Pool.
func NewPool(options Options, clock func() time.Time) *Pool {
	p := &Pool{options: options, clock: clock, idle: map[string][]*conn{}, open: map[string]int{}}
	p.dialer = net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: options.AckTimeout, Interval: options.AckTimeout / 2, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(options.AckTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return p
}

// An Answer is the answer of a backend server. Its head has been read, its body has not.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only when the answer is complete.
	Body     io.Reader
	pool     *Pool
	address  string
	conn     *conn
	response *http.Response
	stop     func() bool
	complete bool
}

// Do sends the request to the address and waits for the head of the answer. The connection is closed when the context ends. A positive
// limit is the maximum number of connections to the address. An error is either an ErrNotSent or an ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, limit int, request Request) (*Answer, error) {
	c, err := p.acquire(ctx, address, limit, request.ID)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	err = request.checkBeforeSend(ctx)
	if err != nil {
		p.putIdle(address, c)
		return nil, ErrNotSent.Wrap(ErrHeldBack.Wrap(err))
	}
	c.remember(request.ID)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	buffers := request.buffers()
	_, err = buffers.WriteTo(c)
	var answer *Answer
	if err == nil {
		answer, err = c.readAnswer(request, p.options.IDHeader, p.options.HeadTimeout)
	}
	if err != nil {
		stop()
		p.discard(address, c)
		return nil, ErrBroken.Wrap(errors.Join(err, context.Cause(ctx)))
	}
	answer.pool, answer.address, answer.conn, answer.stop = p, address, c, stop
	return answer, nil
}

func newAnswer(response *http.Response) *Answer {
	a := &Answer{Status: response.StatusCode, Header: response.Header, response: response}
	a.Body = &completionReader{answer: a}
	return a
}

// completionReader records that the body was read to its end.
type completionReader struct{ answer *Answer }

// Read reads from the body of the answer.
func (w *completionReader) Read(data []byte) (int, error) {
	n, err := w.answer.response.Body.Read(data)
	if errors.Is(err, io.EOF) {
		w.answer.complete = true
	}
	return n, err
}

// Length returns the length of the body in bytes, or a negative number when the head does not state it.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// EndsWithConnection reports whether nothing but the end of the connection marks the end of the body.
func (a *Answer) EndsWithConnection() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// readBuffered reads the rest of the answer if all of it is buffered already. It does not block.
func (a *Answer) readBuffered() {
	buffered := a.conn.reader.Buffered()
	switch {
	case a.complete:
		return
	case a.response.ContentLength >= 0 && a.response.ContentLength <= int64(buffered):
	case len(a.response.TransferEncoding) > 0 && a.conn.endsWithLastChunk(buffered):
	default:
		return
	}
	// An error leaves the answer incomplete, so that Close discards the connection.
	_, _ = io.Copy(io.Discard, a.Body)
}

// Close returns the connection to the pool if the complete answer was read or is buffered, and closes it otherwise.
func (a *Answer) Close() {
	a.readBuffered()
	canceled := !a.stop()
	if canceled || !a.complete || a.response.Close || a.EndsWithConnection() {
		a.pool.discard(a.address, a.conn)
		return
	}
	a.pool.putIdle(a.address, a.conn)
}

// acquire returns an idle or a new connection for the request with the ID. A connection of which one of the last requests had the same ID is
// closed instead of reused, because a duplicate of the answer to that request would be taken for the answer to this one.
func (p *Pool) acquire(ctx context.Context, address string, limit int, id string) (*conn, error) {
	now := p.clock()
	for {
		c, ok := p.popIdle(address)
		if !ok {
			break
		}
		if c.isUsable(now) && !c.hasCarried(id) {
			return c, nil
		}
		p.discard(address, c)
	}
	if !p.reserve(address, limit) {
		return nil, fmt.Errorf("all %d connections to %s are in use", limit, address)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrRefused.Wrap(err)
		}
		return nil, err
	}
	return newConn(raw), nil
}

func (p *Pool) reserve(address string, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// popIdle returns the most recently used idle connection, so that the others can time out.
func (p *Pool) popIdle(address string) (*conn, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil, false
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c, true
}

func (p *Pool) putIdle(address string, c *conn) {
	c.idleSince = p.clock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) discard(address string, c *conn) {
	_ = c.Close()
	p.release(address)
}

// Retain closes the idle connections to addresses that are not in the given set, and those whose idle timeout has passed.
func (p *Pool) Retain(addresses map[string]bool) {
	now := p.clock()
	for address, c := range p.removeStale(addresses, now) {
		for _, stale := range c {
			p.discard(address, stale)
		}
	}
}

func (p *Pool) removeStale(addresses map[string]bool, now time.Time) map[string][]*conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stale := map[string][]*conn{}
	for address, conns := range p.idle {
		var kept []*conn
		for _, c := range conns {
			if addresses[address] && now.Sub(c.idleSince) < c.idleTimeout-keepAliveMargin {
				kept = append(kept, c)
				continue
			}
			stale[address] = append(stale[address], c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return stale
}
