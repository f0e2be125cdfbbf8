package lrframe

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// refusalRetryAfter is the Retry-After of a request that was refused because the memory or the connections are used up. It is a whole
// second, since callers of the product's own interface know no smaller unit.
const refusalRetryAfter = time.Second

// refusalFor returns the refusal of a request that has met a limit before any part of it was passed on.
func refusalFor(reason string) *lrerror.Error {
	switch reason {
	case reasonLines:
		return lrerror.New(lrerror.KindHeaderTooLarge, lrerror.NotRun, "the request has too many header lines; send fewer")
	case reasonHeaderBytes:
		return lrerror.New(lrerror.KindHeaderTooLarge, lrerror.NotRun, "the headers of the request are too large; send less")
	case reasonConnections:
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "this instance has as many connections as it may; try again").
			WithRetryAfter(refusalRetryAfter)
	default:
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "this instance holds as many bytes as it may; try again").
			WithRetryAfter(refusalRetryAfter)
	}
}

// encode returns the whole answer that refuses a request.
func (g *Gate) encode(refusal *lrerror.Error) []byte {
	body := g.limits.EncodeRefusal(refusal)
	status := refusal.Kind().Status()
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", status, http.StatusText(status), len(body))
	if refusal.RetryAfter() > 0 {
		head += "Retry-After: " + strconv.Itoa(int(refusal.RetryAfter().Seconds())) + "\r\n"
	}
	return append([]byte(head+"\r\n"), body...)
}

// Refusal returns the refusal of the connection of the request, or nil. A connection on which a later, already received request has met a
// limit counts as refused.
func Refusal(ctx context.Context) *lrerror.Error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	reason := c.refusedFor()
	if reason == "" {
		return nil
	}
	return refusalFor(reason)
}
