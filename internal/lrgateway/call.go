package lrgateway

import (
	"context"
	"errors"
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

// A Call is one request of a caller while the gateway handles it.
type Call struct {
	ID       string
	Request  *http.Request
	Body     []byte
	Snapshot *lrconfig.Snapshot
	// Route is the catalog route of the path, or nil if no route matches.
	Route *lrconfig.Route
	// Key, Account and Plan are set by the guards. They are empty for a request without a key on an open route.
	Key     lrkey.Key
	Account lrconfig.Account
	Plan    lrconfig.Plan

	writer      http.ResponseWriter
	receivedAt  time.Time
	wroteHeader bool
	activeCall  *activeCall
	cleanups    []func()
	explanation lrexplain.Explanation
}

type callHandler func(ctx context.Context, call *Call) error

// serve returns the HTTP handler that runs the guards, handles the call and records its result.
func (g *Gateway) serve(handle callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeoutCause(r.Context(), g.options.StreamTimeout, errStreamTimeout)
		defer cancel()
		ctx, cancelCall := context.WithCancelCause(ctx)
		defer cancelCall(nil)
		call := g.newCall(w, r)
		defer call.runCleanups()
		err := g.admit(call)
		if err == nil {
			call.activeCall = g.activeCalls.add(call, cancelCall)
			defer g.activeCalls.remove(call.activeCall)
			err = g.handleIfStillAllowed(ctx, call, handle)
		}
		g.finish(call, preferCause(ctx, err))
	}
}

var errStreamTimeout = lrerror.New(lrerror.KindTimeout, lrerror.Unknown,
	"the request took longer than the stream timeout; ask for fewer tokens")

// handleIfStillAllowed checks the call against the current configuration before it handles it. A key that was withdrawn
// after the guards ran, but before the call was listed as active, would otherwise go unnoticed.
func (g *Gateway) handleIfStillAllowed(ctx context.Context, call *Call, handle callHandler) error {
	err := call.activeCall.check(g.Config.Snapshot())
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
	err := g.checkNotStopping()
	if err != nil {
		return err
	}
	if call.Snapshot.Version() == 0 {
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "this instance has no configuration yet; try again").WithRetryAfter(startRetryAfter)
	}
	for _, guard := range g.guards {
		err = guard.Check(g.Clock(), call)
		if err != nil {
			return err
		}
	}
	call.explanation.Account = call.Account.Name
	// The body may have taken long to arrive.
	return g.checkNotStopping()
}

// startRetryAfter is when a request that came before the configuration may be sent again.
const startRetryAfter = 200 * time.Millisecond

// stopRetryAfter is when a request that this instance no longer takes may be sent to another one.
const stopRetryAfter = 100 * time.Millisecond

func (g *Gateway) checkNotStopping() error {
	if !g.isStopping.Load() {
		return nil
	}
	return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "this instance is about to end; send the request to another one").
		WithRetryAfter(stopRetryAfter)
}

func (g *Gateway) finish(call *Call, err error) {
	e := call.explanation
	e.Duration = g.Clock().Sub(call.receivedAt)
	if err != nil {
		failure := lrerror.From(err)
		e.Error = redactKey(err.Error())
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

// redactKey returns the text, or a placeholder if the text contains a key.
func redactKey(text string) string {
	if lrkey.ContainsKey([]byte(text)) {
		return "left out because a key stands in it"
	}
	return text
}

// addCleanup registers a function that is called when the call ends.
func (c *Call) addCleanup(cleanup func()) {
	c.cleanups = append(c.cleanups, cleanup)
}

func (c *Call) runCleanups() {
	for _, e := range c.cleanups {
		e()
	}
}

// allowWrite sets the deadline by which the caller must read the next bytes.
func (c *Call) allowWrite(until time.Time) {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(until)
}

// priority returns the sum of the priorities of the plan and the route.
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

// preferCause returns the error with which the gateway canceled the context, if there is one, and err otherwise. The outcome is
// always that of err.
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
