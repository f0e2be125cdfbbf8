// Package lrconn sends requests to backend servers over kept connections. It never sends a request twice, tells for
// sure whether any byte of it was sent, and drops answers that belong to other requests.
package lrconn

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"
)

// A Field is one header line.
type Field struct {
	Name  string
	Value string
}

// A Request is what goes to a backend server.
type Request struct {
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header []Field
	Body   []byte
	// ID is the identity that the answer must bear. A request without one takes no answer that bears any.
	ID string
	// MayLeave is asked last before the first byte leaves. An error holds the request back: the process may have been paused since the
	// request was allowed. Nil allows it.
	MayLeave func() error
}

// mayLeave returns why the request must not leave any more, or nil.
func (r Request) mayLeave(ctx context.Context) error {
	// The timer of a context may not have fired yet when a process goes on after a pause.
	end, bounded := ctx.Deadline()
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case bounded && !time.Now().Before(end):
		return context.DeadlineExceeded
	case r.MayLeave == nil:
		return nil
	default:
		return r.MayLeave()
	}
}

// buffers returns the bytes of the request.
func (r Request) buffers() net.Buffers {
	var head strings.Builder
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for _, f := range r.Header {
		head.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return net.Buffers{[]byte(head.String()), r.Body}
}
