package lrframe

import (
	"context"
	"net"
	"net/http"
	"time"
)

// netHTTPSlack is what net/http reads above MaxHeaderBytes before it answers 431.
const netHTTPSlack = 8 << 10

type listener struct {
	net.Listener
	maxHead int
}

type conn struct {
	net.Conn
	inspector inspector
	idle      idleness
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
	return &conn{Conn: accepted, inspector: inspector{maxHead: l.maxHead}, idle: idleness{since: time.Now()}}, nil
}

// Read reads and inspects bytes of the connection.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.idle.begin() {
		return 0, net.ErrClosed
	}
	c.inspector.inspect(data[:n])
	return n, err
}

// CloseWrite ends the writing side, so that the other side can read the last answer.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// ConnContext keeps the connection in the context of its requests. It fits http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	inspected, ok := c.(*conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, inspected)
}

// Violation returns the first fault of the framing on the connection of the request, or an empty text. A connection
// whose next request is already known to be faulty counts as faulty.
func Violation(ctx context.Context) string {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return ""
	}
	return c.inspector.violation()
}

// ResetOnClose makes the connection of the request end with a reset. A caller of HTTP/1.0 takes any other end of an answer without a
// length for its proper one.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return
	}
	lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if ok {
		// A connection that cannot be reset any more has ended already.
		_ = lingering.SetLinger(0)
	}
}

// CloseAfterChunked returns a handler that ends the connection after a chunked request. Such a request is the last one
// that is inspected on its connection.
func CloseAfterChunked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
