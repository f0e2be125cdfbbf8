package lrframe

import (
	"context"
	"net"
	"net/http"
	"time"
)

// netHTTPSlack is the number of bytes beyond MaxHeaderBytes that net/http reads before it answers with status 431.
const netHTTPSlack = 8 << 10

type listener struct {
	net.Listener
	maxHead int
}

type conn struct {
	net.Conn
	inspector inspector
	idle      idleState
}

type contextKey struct{}

// NewListener returns a listener whose connections are inspected. A head may have up to maxHeaderBytes bytes.
func NewListener(l net.Listener, maxHeaderBytes int) net.Listener {
	return &listener{Listener: l, maxHead: maxHeaderBytes + netHTTPSlack}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, inspector: inspector{maxHead: l.maxHead}, idle: idleState{acceptedAt: time.Now()}}, nil
}

// Read reads and inspects bytes of the connection.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.idle.markActive() {
		return 0, net.ErrClosed
	}
	c.inspector.inspect(data[:n])
	return n, err
}

// CloseWrite closes the write side, so that the peer can still read the last response.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// ConnContext stores the connection in the context of its requests. It is meant for the field of this name in http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	inspected, ok := c.(*conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, inspected)
}

// Violation returns the first framing fault on the connection of the request, or an empty string. A connection on which a later,
// already received request is faulty counts as faulty.
func Violation(ctx context.Context) string {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return ""
	}
	return c.inspector.violation()
}

// ResetOnClose makes the connection of the request end with a TCP reset. An HTTP/1.0 client takes any other end of a response without a
// length for its regular end.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return
	}
	lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if ok {
		// SetLinger fails only if the connection has already ended.
		_ = lingering.SetLinger(0)
	}
}

// CloseAfterChunked returns a handler that closes the connection after a chunked request, since the bytes after such a request are not
// inspected.
func CloseAfterChunked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
