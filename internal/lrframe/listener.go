package lrframe

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

// netHTTPSlack is the number of bytes beyond MaxHeaderBytes that net/http reads before it answers with status 431.
const netHTTPSlack = 8 << 10

type listener struct {
	net.Listener
	gate *Gate
}

type contextKey struct{}

// NewListener returns a listener whose connections are inspected. A head may have up to maxHeaderBytes bytes.
func NewListener(l net.Listener, maxHeaderBytes int) net.Listener {
	return NewGate(Limits{MaxHeaderBytes: maxHeaderBytes}, NewStats(zerolog.Nop())).Listener(l)
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.gate.admit(accepted)
		if c != nil {
			return c, nil
		}
	}
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

// NewReservation returns a reservation for the body of the request in the memory of its connection, or in the budget if the connection is
// not inspected.
func NewReservation(ctx context.Context, budget *lrmemory.Budget) *lrmemory.Reservation {
	c := connOf(ctx)
	if c == nil {
		return budget.NewReservation()
	}
	return c.holder.NewReservation()
}

// ReadBody reads the body of the request to its end, as far as the limit and the reservation allow, and reports whether it reached the end.
// From then on the connection is not closed in favour of others. A connection that was closed before has no whole body and no error.
func ReadBody(r *http.Request, reservation *lrmemory.Reservation, body io.Reader, limit int) (data []byte, isWhole bool, err error) {
	reservation.Expect(int(max(r.ContentLength, 0)))
	data, isWhole, err = reservation.ReadAll(body, limit)
	c := connOf(r.Context())
	if c == nil {
		return data, isWhole, err
	}
	switch {
	case errors.Is(err, errRefused):
		return data, false, nil
	case err != nil || !isWhole:
		return data, isWhole, err
	default:
		return data, c.holder.Pin(), nil
	}
}

// LingerOnClose makes the end of the connection of the request wait a moment for what the client is still sending. Without it, the
// client may lose the answer with a reset.
func LingerOnClose(ctx context.Context) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingers = c.reason != reasonConnections
}

// ResetOnClose makes the connection of the request end with a TCP reset. An HTTP/1.0 client takes any other end of a response without a
// length for its regular end.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return
	}
	c.mutex.Lock()
	c.lingers = false
	c.mutex.Unlock()
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
