// Package lrstatus says what the status of an answer may be, by RFC 9110, section 15. All clients of HTTP in the router ask it: those that
// pass on callers' requests and those that make calls of the router itself.
package lrstatus

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// ErrInvalid means that the status of an answer is none that HTTP knows, so that nothing can be said of the request.
var ErrInvalid = errs.Class("answer has no valid status, the request may have run")

const (
	// MaxInterim is the number of interim answers before the final one. It is the one that net/http allows.
	MaxInterim = 5
	// lowestStatus is the lowest status. Those from 600 on have no class and count as failures of the server.
	lowestStatus = 100
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// Check returns ErrInvalid unless the status of the answer is a number of three digits that belongs to an interim or a final answer. The
// router never asks to switch protocols, so an answer that does belongs to no request.
func Check(response *http.Response) error {
	code, _, _ := strings.Cut(response.Status, " ")
	if len(code) != statusDigits || strings.Trim(code, "0123456789") != "" || response.StatusCode < lowestStatus {
		return ErrInvalid.New("%.16q", code)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return ErrInvalid.New("%q without a request to upgrade", code)
	}
	return nil
}

// IsInterim reports whether another answer to the same request follows this one, whose status is valid.
func IsInterim(response *http.Response) bool { return response.StatusCode < http.StatusOK }

// A Transport makes requests by another transport and returns ErrInvalid for answers without a valid status. The connections of such answers are
// closed, since nobody knows to what their next bytes belong.
type Transport struct{ Base http.RoundTripper }

// RoundTrip makes one request. The transport has dropped interim answers.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) }}
	response, err := t.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = Check(response)
	if err == nil {
		return response, nil
	}
	used := connection.Load()
	if used != nil {
		_ = (*used).Close()
	}
	_ = response.Body.Close()
	return nil, err
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t Transport) CloseIdleConnections() {
	closer, ok := t.Base.(interface{ CloseIdleConnections() })
	if ok {
		closer.CloseIdleConnections()
	}
}

// WithCheck returns the client with a Transport that makes its requests.
func WithCheck(client *http.Client) *http.Client {
	checked := *client
	if checked.Transport == nil {
		checked.Transport = http.DefaultTransport
	}
	checked.Transport = Transport{Base: checked.Transport}
	return &checked
}
