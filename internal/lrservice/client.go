// Package lrservice is the client of the plain services: backend servers that do not generate text, in contrast to engines. It
// sends each request once at most and states whether a failed request may have reached the service.
package lrservice

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

const (
	// dialTimeout limits the time to connect, in which nothing is sent yet.
	dialTimeout = time.Second
	// maxHeadBytes bounds the head of an answer with its interim answers.
	maxHeadBytes = 64 << 10
)

// The classes of errors of a plain service.
var (
	// ErrNotSent means that no byte of the request reached the service.
	ErrNotSent = errs.Class("service: not sent")
	// ErrUnknown means that the service may have received the request.
	ErrUnknown = errs.Class("service: outcome unknown")
	// ErrNoMemory means that the service has answered, but the memory for its answer is used up.
	ErrNoMemory = errs.Class("service: no memory for the answer")
)

// A Request is one call to a plain service.
type Request struct {
	Method string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// SendBefore is the send deadline: the first byte is sent before this time or never. Zero means no deadline.
	SendBefore time.Time
	// Memory is charged for the body of the answer. Nil means no bound but the size of one answer.
	Memory *lrmemory.Reservation
}

// A Response is the complete answer of a plain service.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Trailer holds the header fields received after the body.
	Trailer http.Header `json:"trailer,omitempty"`
}

// A Client sends each request once at most. Neither it nor its transport retries a request.
type Client interface {
	// Call sends the request to the backend server at the address and returns the complete answer.
	Call(ctx context.Context, address string, request Request) (Response, error)
}

type client struct {
	http     *http.Client
	maxBytes int64
}

// NewClient returns a Client that accepts answers with a body of up to maxBytes bytes.
func NewClient(maxBytes int64) Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialRequestConn(&dialer), MaxResponseHeaderBytes: maxHeadBytes}
	return &client{http: &http.Client{Transport: lrstatus.Transport{Base: transport}, CheckRedirect: returnRedirect}, maxBytes: maxBytes}
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *client) Call(ctx context.Context, address string, request Request) (Response, error) {
	ctx = context.WithValue(ctx, sendBeforeKey{}, request.SendBefore)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, singleUseBody(request.Body))
	if err != nil {
		return Response{}, ErrNotSent.Wrap(err)
	}
	outgoing.Header = request.Header.Clone()
	outgoing.ContentLength = int64(len(request.Body))
	response, err := c.http.Do(outgoing)
	if err != nil {
		return Response{}, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	memory := request.Memory
	if memory == nil {
		memory = lrmemory.NewBudget(math.MaxInt).NewReservation()
	}
	body, isWhole, err := memory.ReadAll(response.Body, int(c.maxBytes))
	switch {
	case err != nil:
		return Response{}, ErrUnknown.Wrap(err)
	case int64(len(body)) > c.maxBytes:
		return Response{}, ErrUnknown.New("answer is above %d bytes", c.maxBytes)
	case !isWhole:
		return Response{}, ErrNoMemory.New("%d bytes were read", len(body))
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body, Trailer: response.Trailer}, nil
}

// singleUseBody hides the type of the reader, so that net/http cannot rewind and resend it.
func singleUseBody(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

func classify(err error) error {
	var dial *net.OpError
	if ErrNotSent.Has(err) || (errors.As(err, &dial) && dial.Op == "dial") {
		return ErrNotSent.Wrap(err)
	}
	return ErrUnknown.Wrap(err)
}
