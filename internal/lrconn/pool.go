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

// ErrNotSent means that no byte of the request has left, so that it may be sent elsewhere.
var ErrNotSent = errs.Class("request was not sent, another backend server may take it")

// ErrRefused means that nobody listens at the address. It is an ErrNotSent too.
var ErrRefused = errs.Class("nobody listens at the address of the backend server")

// ErrHeldBack means that the permission to send the request ran out before its first byte left. It is an ErrNotSent too.
var ErrHeldBack = errs.Class("request was held back, ask for permission again")

// ErrBroken means that the connection broke after the request was sent. It may have run.
var ErrBroken = errs.Class("connection to the backend server broke, the request may have run")

// tcpUserTimeout is the number of the socket option that bounds how long sent bytes may stay without confirmation.
const tcpUserTimeout = 0x12

// Options bound connections.
type Options struct {
	// IDHeader is the header in which answers bear the identity of their request.
	IDHeader string
	// DialTimeout bounds how long a new connection may take.
	DialTimeout time.Duration
	// SilenceTimeout bounds how long a connection may leave sent bytes without confirmation.
	SilenceTimeout time.Duration
	// HeadTimeout bounds how long the head of an answer may take from its first byte on. Zero means no bound.
	HeadTimeout time.Duration
}

// A Pool keeps connections to backend servers. It is safe for use by several goroutines.
type Pool struct {
	options Options
	dialer  net.Dialer
	clock   func() time.Time
	mutex   sync.Mutex
	idle    map[string][]*conn
	open    map[string]int
}

// NewPool returns an empty Pool.
func NewPool(options Options, clock func() time.Time) *Pool {
	p := &Pool{options: options, clock: clock, idle: map[string][]*conn{}, open: map[string]int{}}
	p.dialer = net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: options.SilenceTimeout, Interval: options.SilenceTimeout / 2, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(options.SilenceTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return p
}

// An Answer is the answer of a backend server, whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is whole.
	Body     io.Reader
	pool     *Pool
	address  string
	conn     *conn
	response *http.Response
	stop     func() bool
	whole    bool
}

// Do sends the request to the address and waits for the head of the answer. The end of the context closes the
// connection. A positive limit bounds the connections to the address.
func (p *Pool) Do(ctx context.Context, address string, limit int, request Request) (*Answer, error) {
	c, err := p.take(ctx, address, limit, request.ID)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	err = request.mayLeave(ctx)
	if err != nil {
		p.put(address, c)
		return nil, ErrNotSent.Wrap(ErrHeldBack.Wrap(err))
	}
	c.lastID = request.ID
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
	a.Body = &wholeReader{answer: a}
	return a
}

// wholeReader notes that the body was read to its end.
type wholeReader struct{ answer *Answer }

// Read reads from the body of the answer.
func (w *wholeReader) Read(data []byte) (int, error) {
	n, err := w.answer.response.Body.Read(data)
	if errors.Is(err, io.EOF) {
		w.answer.whole = true
	}
	return n, err
}

// Length returns the number of bytes of the body, or a negative number where its head does not tell.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// readPresent reads the rest of the answer if all of it has come already, without waiting.
func (a *Answer) readPresent() {
	present := a.conn.reader.Buffered()
	switch {
	case a.whole:
		return
	case a.response.ContentLength >= 0 && a.response.ContentLength <= int64(present):
	case len(a.response.TransferEncoding) > 0 && a.conn.endsWithLastChunk(present):
	default:
		return
	}
	// What cannot be read does not become whole.
	_, _ = io.Copy(io.Discard, a.Body)
}

// Close gives the connection back if the whole answer was read or has come, and closes it otherwise.
func (a *Answer) Close() {
	a.readPresent()
	cancelled := !a.stop()
	if cancelled || !a.whole || a.response.Close || a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
		a.pool.discard(a.address, a.conn)
		return
	}
	a.pool.put(a.address, a.conn)
}

// take returns a connection for the request of the identity. One that has carried a request of the same identity before is not used
// again: a second copy of its answer would be taken for the answer to this one.
func (p *Pool) take(ctx context.Context, address string, limit int, id string) (*conn, error) {
	now := p.clock()
	for {
		c, ok := p.pop(address)
		if !ok {
			break
		}
		if c.isUsable(now) && (id == "" || c.lastID != id) {
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

// pop returns the connection that was used last, so that the others can time out.
func (p *Pool) pop(address string) (*conn, bool) {
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

func (p *Pool) put(address string, c *conn) {
	c.idleSince = p.clock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) discard(address string, c *conn) {
	_ = c.Close()
	p.release(address)
}

// Retain closes idle connections to all other addresses than the given ones, and those that nobody used for long.
func (p *Pool) Retain(addresses map[string]bool) {
	now := p.clock()
	for address, c := range p.takeStale(addresses, now) {
		for _, stale := range c {
			p.discard(address, stale)
		}
	}
}

func (p *Pool) takeStale(addresses map[string]bool, now time.Time) map[string][]*conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stale := map[string][]*conn{}
	for address, conns := range p.idle {
		var kept []*conn
		for _, c := range conns {
			if addresses[address] && now.Sub(c.idleSince) < c.idleFor-keepAliveMargin {
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
