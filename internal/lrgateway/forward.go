package lrgateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// HeaderIdempotencyKey names the request header that identifies a paid action.
const HeaderIdempotencyKey = "Idempotency-Key"

// A PaidRequest is a request for a paid action, which is not idempotent, by a client account.
type PaidRequest struct {
	RequestID      string
	Account        string
	Route          lrconfig.Route
	IdempotencyKey string
	Request        lrservice.Request
}

// A PaidRunner runs each paid action at most once.
type PaidRunner interface {
	// Run returns the answer of the single call that belongs to the idempotency key, whether it was made now or earlier.
	Run(ctx context.Context, now time.Time, request PaidRequest) (lrservice.Response, error)
}

func findRoute(snapshot *lrconfig.Snapshot, path string) *lrconfig.Route {
	var found *lrconfig.Route
	for _, r := range snapshot.Catalog().Routes {
		if !matchesPath(r.Path, path) {
			continue
		}
		if found == nil || len(r.Path) > len(found.Path) {
			found = &r
		}
	}
	return found
}

func matchesPath(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/"))
}

// forward sends the call to the plain service of its route and writes the answer to the caller.
func (g *Gateway) forward(ctx context.Context, call *Call) error {
	if call.Route == nil {
		return lrerror.New(lrerror.KindNotFound, lrerror.NotRun, "there is no route for this path; look at the catalog's routes")
	}
	request := forwardRequest(call)
	if call.Route.Paid {
		return g.forwardPaid(ctx, call, request)
	}
	response, err := g.forwardIdempotent(ctx, call, request)
	if err != nil {
		return err
	}
	g.writeResponse(call, response)
	return nil
}

func (g *Gateway) forwardPaid(ctx context.Context, call *Call, request lrservice.Request) error {
	if g.Paid == nil {
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "paid routes are not served by this instance; retry on another one")
	}
	key := call.Request.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return badRequest("a paid action needs the header " + HeaderIdempotencyKey + "; send one that is unique to the action")
	}
	response, err := g.Paid.Run(ctx, g.Clock(), PaidRequest{
		RequestID: call.ID, Account: call.Account.Name, Route: *call.Route, IdempotencyKey: key, Request: request,
	})
	if err != nil {
		return err
	}
	g.writeResponse(call, response)
	return nil
}

// forwardIdempotent tries the backend servers of the service in order until one answers. A request that a server may have run
// is retried on the next one only if its method is safe and the retry budget allows it.
func (g *Gateway) forwardIdempotent(ctx context.Context, call *Call, request lrservice.Request) (lrservice.Response, error) {
	request.Memory = g.options.Memory.NewReservation()
	call.addCleanup(request.Memory.Release)
	g.Budget.Earn()
	unavailable := lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
		"no backend server of service %s can be reached; retry later", call.Route.Service)
	failure := unavailable
	for _, s := range g.services(call.Route.Service) {
		g.Ejector.Started(g.Clock(), s.Name)
		response, err := g.Services.Call(ctx, s.Address, request)
		if err == nil {
			g.Ejector.Succeeded(s.Name)
			return response, nil
		}
		if lrservice.ErrNoMemory.Has(err) {
			g.Ejector.Succeeded(s.Name)
			return response, lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown,
				"this instance has no memory for the answer; find out whether the request ran before sending it again").WithCause(err)
		}
		if !lrservice.ErrNotSent.Has(err) {
			failure = lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown,
				"the service failed after it had received the request; find out whether it ran before sending it again").WithCause(err)
		}
		if ctx.Err() != nil {
			break
		}
		g.Ejector.Failed(g.Clock(), s.Name)
		if failure != unavailable && (!isSafe(request.Method) || !g.Budget.Spend()) {
			break
		}
	}
	return lrservice.Response{}, failure
}

// services returns the backend servers of the service with the ejected ones last.
func (g *Gateway) services(service string) []lrplatform.Instance {
	servers := g.Servers.Services(service)
	ejected := g.Ejector.Ejected(g.Clock())
	slices.SortStableFunc(servers, func(a, b lrplatform.Instance) int {
		return compareBool(slices.Contains(ejected, a.Name), slices.Contains(ejected, b.Name))
	})
	return servers
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func forwardRequest(call *Call) lrservice.Request {
	path := call.Request.URL.EscapedPath()
	query := forwardQuery(call.Request.URL.RawQuery)
	if query != "" {
		path += "?" + query
	}
	header := forwardHeader(call.Request.Header)
	header.Set(HeaderRequestID, call.ID)
	return lrservice.Request{Method: call.Request.Method, Path: path, Header: header, Body: call.Body}
}

func (g *Gateway) writeResponse(call *Call, response lrservice.Response) {
	call.allowWrite(g.Clock().Add(g.options.WriteTimeout))
	call.explanation.Outcome = lrerror.Ran
	call.wroteHeader = true
	header := call.writer.Header()
	for name, values := range forwardHeader(response.Header) {
		if !strings.EqualFold(name, HeaderRequestID) {
			header[name] = values
		}
	}
	header.Del("Set-Cookie")
	trailer := forwardHeader(response.Trailer)
	hasBody := call.Request.Method != http.MethodHead && allowsBody(response.Status)
	switch {
	case hasBody && len(trailer) > 0:
		for name, values := range trailer {
			header[http.TrailerPrefix+name] = values
		}
	case hasBody:
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	call.writer.WriteHeader(response.Status)
	if call.Request.Method != http.MethodHead {
		_, _ = call.writer.Write(response.Body)
	}
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
