package lrgateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

// HeaderRequestID names the response header with the request identifier.
const HeaderRequestID = "X-Request-Id"

// A Call is one request of a caller on its way through the gateway.
type Call struct {
	ID       string
	Request  *http.Request
	Body     []byte
	Snapshot *lrconfig.Snapshot
	// Route is set when a plain service serves the path.
	Route *lrconfig.Route
	// Key, Account and Plan are set by the guards, except on open routes.
	Key     lrkey.Key
	Account lrconfig.Account
	Plan    lrconfig.Plan

	writer      http.ResponseWriter
	receivedAt  time.Time
	wroteHeader bool
	session     *session
	endings     []func()
	explanation lrexplain.Explanation
}

type callHandler func(ctx context.Context, call *Call) error

// serve returns the HTTP handler that guards a call, handles it and reports its end.
func (g *Gateway) serve(handle callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeoutCause(r.Context(), g.options.StreamTimeout, errStreamTimeout)
		defer cancel()
		ctx, end := context.WithCancelCause(ctx)
		defer end(nil)
		call := g.newCall(w, r)
		defer call.end()
		err := g.admit(call)
		if err == nil {
			call.session = g.sessions.add(call, end)
			defer g.sessions.remove(call.session)
			err = g.checkStillAllowed(ctx, call, handle)
		}
		g.finish(call, preferCause(ctx, err))
	}
}

var errStreamTimeout = lrerror.New(lrerror.KindTimeout, lrerror.Unknown,
	"the request took longer than the stream timeout; ask for fewer tokens")

// checkStillAllowed closes the gap between the guards and the session: a key that was withdrawn in between is seen here.
func (g *Gateway) checkStillAllowed(ctx context.Context, call *Call, handle callHandler) error {
	err := call.session.check(g.Config.Snapshot())
	if err != nil {
		return err
	}
	return handle(ctx, call)
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *Call {
	id := uuid.NewString()
	w.Header().Set(HeaderRequestID, id)
	now := g.Clock()
	call := &Call{ID: id, Request: r, Snapshot: g.Config.Snapshot(), writer: w, receivedAt: now}
	call.Route = findRoute(call.Snapshot, r.URL.Path)
	call.explanation = lrexplain.Explanation{RequestID: id, Route: call.routeName(), ReceivedAt: now, Outcome: lrerror.NotRun}
	return call
}

func (g *Gateway) admit(call *Call) error {
	for _, guard := range g.guards {
		err := guard.Check(g.Clock(), call)
		if err != nil {
			return err
		}
	}
	call.explanation.Account = call.Account.Name
	return nil
}

func (g *Gateway) finish(call *Call, err error) {
	e := call.explanation
	e.Duration = g.Clock().Sub(call.receivedAt)
	if err != nil {
		failure := lrerror.From(err)
		e.Error = withoutKey(err.Error())
		e.Outcome = failure.Outcome()
		g.Metrics.Refusals.WithLabelValues(failure.Kind().String()).Inc()
		if !call.wroteHeader {
			call.allowWrite(g.Clock().Add(g.options.WriteTimeout))
			writeError(call.writer, call.ID, failure)
		}
	}
	g.Recorder.Record(e)
	g.Metrics.Requests.WithLabelValues(e.Route, string(e.Outcome)).Inc()
	g.Log.Info().Str("requestId", call.ID).Str("account", e.Account).Str("route", e.Route).
		Str("outcome", string(e.Outcome)).Dur("duration", e.Duration).Str("error", e.Error).Msg("gateway: request finished")
}

// withoutKey returns the text, or a note in its place when a key stands in it.
func withoutKey(text string) string {
	if lrkey.Holds([]byte(text)) {
		return "left out because a key stands in it"
	}
	return text
}

// atEnd registers a function that is called when the call has ended.
func (c *Call) atEnd(ending func()) {
	c.endings = append(c.endings, ending)
}

func (c *Call) end() {
	for _, e := range c.endings {
		e()
	}
}

// allowWrite gives the caller until then to take the next bytes.
func (c *Call) allowWrite(until time.Time) {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(until)
}

// priority returns the priority of the plan with that of the route.
func (c *Call) priority() int {
	if c.Route == nil {
		return c.Plan.Priority
	}
	return c.Plan.Priority + c.Route.Priority
}

func (c *Call) routeName() string {
	switch {
	case c.Route != nil:
		return c.Route.Name
	case strings.HasPrefix(c.Request.URL.Path, "/v1/"):
		return "model"
	default:
		return "none"
	}
}

func (c *Call) recordResult(result lrstream.Result) {
	c.explanation.Attempts = result.Attempts
	c.explanation.OutputTokens = result.OutputTokens
}

// readBody reads the whole body of the request, within the limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := io.Copy(&buffer, http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, lrerror.New(lrerror.KindBodyTooLarge, lrerror.NotRun, "the body is above %d bytes; send a shorter one", limit)
	}
	if err != nil {
		return nil, lrerror.New(lrerror.KindBadRequest, lrerror.NotRun, "the body did not arrive whole; send it again").WithCause(err)
	}
	return buffer.Bytes(), nil
}

// preferCause returns the reason for which the gateway ended the call, where there is one.
func preferCause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var cause *lrerror.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause.WithOutcome(lrerror.From(err).Outcome())
	}
	return err
}
