// Package lrconn sends HTTP/1.1 requests to backend servers over pooled keep-alive connections. In contrast to net/http, it never sends a
// request twice on its own, it reports reliably whether any byte of a request was sent, and it discards answers that belong to other
// requests, such as duplicates that arrive late. An answer belongs to a request when it carries the ID of the request in a header.
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

// A Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the request target: the path with its query, as the caller sent it.
	Target string
	Host   string
	Header []Field
	Body   []byte
	// ID is the ID that the answer must carry in Options.IDHeader. When it is empty, only an answer without an ID is accepted.
	ID string
	// BeforeSend is called just before the first byte is written, because the process may have been paused since the request was admitted.
	// An error cancels the request. Nil means that there is no check.
	BeforeSend func() error
}

// checkBeforeSend returns the reason why the request must no longer be sent, or nil.
func (r Request) checkBeforeSend(ctx context.Context) error {
	// The timer of the context may not have fired yet when a process continues after a pause.
	end, bounded := ctx.Deadline()
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case bounded && !time.Now().Before(end):
		return context.DeadlineExceeded
	case r.BeforeSend == nil:
		return nil
	default:
		return r.BeforeSend()
	}
}

// buffers returns the encoded request.
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
