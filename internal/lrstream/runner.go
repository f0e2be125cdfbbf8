// Package lrstream runs one generation over one or several engines and delivers its events whole and in order.
package lrstream

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const cancelTimeout = 2 * time.Second

// An Engines finds engines by name.
type Engines interface {
	Engine(name string) (lrengine.Engine, bool)
}

// A Sink takes the text of a stream, in order. An error ends the stream.
type Sink interface {
	Deliver(text string) error
}

// A Job is one generation.
type Job struct {
	Engine lrengine.Request
	Route  lrroute.Request
}

// An Attempt is what happened on one engine.
type Attempt struct {
	Placement    lrroute.Placement `json:"placement"`
	CachedTokens int               `json:"cachedTokens"`
	QueuedTokens int               `json:"queuedTokens"`
	FirstToken   time.Duration     `json:"firstToken"`
	Error        string            `json:"error,omitempty"`
}

// A Result sums up a generation.
type Result struct {
	Attempts     []Attempt
	OutputTokens int
	CachedTokens int
	FirstToken   time.Duration
	FinishReason string
}

// Options bound a generation.
type Options struct {
	MaxAttempts int
	// EventTimeout is the longest silence of an engine before it counts as frozen.
	EventTimeout time.Duration
}

// A Runner runs generations.
type Runner struct {
	engines Engines
	placer  lrroute.Placer
	clock   func() time.Time
	options Options
	log     zerolog.Logger
}

// NewRunner returns a Runner.
func NewRunner(engines Engines, placer lrroute.Placer, clock func() time.Time, options Options, log zerolog.Logger) *Runner {
	return &Runner{engines: engines, placer: placer, clock: clock, options: options, log: log}
}

// Run generates the whole answer and delivers it to the sink. When an engine fails it goes on with another one from
// the last delivered token.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	run := &generation{runner: r, job: job, sink: sink, started: r.clock(), outcome: lrerror.NotRun}
	for range r.options.MaxAttempts {
		finished, err := run.attempt(ctx)
		if finished || err != nil {
			return run.result, err
		}
	}
	return run.result, lrerror.New(lrerror.KindBackendFailed, run.outcome,
		"%d engines failed the request; retry later", len(run.result.Attempts))
}

// generation is the state of one Run.
type generation struct {
	runner    *Runner
	job       Job
	sink      Sink
	started   time.Time
	result    Result
	generated strings.Builder
	outcome   lrerror.Outcome
}

// attempt reports whether the answer is complete. It returns an error when no further attempt may be made.
func (g *generation) attempt(ctx context.Context) (bool, error) {
	placement, ok := g.runner.placer.Place(g.runner.clock(), g.job.Route)
	if !ok {
		return false, lrerror.New(lrerror.KindUnavailable, g.outcome, "no engine serves model %q now; retry later", g.job.Route.Scope.Model)
	}
	defer func() { g.runner.placer.Finish(g.runner.clock(), placement.Engine, g.job.Route) }()
	attempt := Attempt{Placement: placement}
	err := g.stream(ctx, placement.Engine, &attempt)
	if err != nil {
		attempt.Error = err.Error()
	}
	g.result.Attempts = append(g.result.Attempts, attempt)
	return g.judge(ctx, placement.Engine, err)
}

func (g *generation) judge(ctx context.Context, engine string, err error) (bool, error) {
	var delivery *deliveryError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &delivery):
		return false, lrerror.New(lrerror.KindTimeout, lrerror.Ran, "the caller left").WithCause(err)
	case ctx.Err() != nil:
		return false, lrerror.New(lrerror.KindTimeout, g.outcome, "the request took too long or its caller left").WithCause(ctx.Err())
	}
	if !lrengine.ErrNotSent.Has(err) && !lrengine.ErrRefused.Has(err) {
		g.outcome = lrerror.Unknown
	}
	g.job.Route.Excluded = append(g.job.Route.Excluded, engine)
	g.runner.log.Warn().Err(err).Str("requestId", g.job.Engine.RequestID).Str("engine", engine).Msg("stream: attempt failed")
	return false, nil
}

// stream takes the events of one engine. The engine's silence ends it through the watchdog.
func (g *generation) stream(ctx context.Context, name string, attempt *Attempt) error {
	engine, ok := g.runner.engines.Engine(name)
	if !ok {
		return lrengine.ErrNotSent.New("engine %s has left", name)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(g.runner.options.EventTimeout, func() {
		cancel(lrengine.ErrBroken.New("engine %s was silent for %s", name, g.runner.options.EventTimeout))
	})
	defer watchdog.Stop()
	request := g.job.Engine
	request.ResumeFrom = g.result.OutputTokens
	request.Generated = g.generated.String()
	events, err := engine.Generate(ctx, request)
	if err != nil {
		return causeOr(ctx, err)
	}
	defer func() { _ = events.Close() }()
	for {
		event, err := events.Next()
		if err != nil {
			g.cancelOn(engine)
			return causeOr(ctx, err)
		}
		watchdog.Reset(g.runner.options.EventTimeout)
		done, err := g.take(name, event, attempt)
		if err != nil {
			g.cancelOn(engine)
		}
		if done || err != nil {
			return err
		}
	}
}

// take checks and delivers one event. It reports whether it was the last one.
func (g *generation) take(engine string, event lrengine.Event, attempt *Attempt) (bool, error) {
	if event.RequestID != g.job.Engine.RequestID {
		return false, lrengine.ErrProtocol.New("event of request %s instead of %s", event.RequestID, g.job.Engine.RequestID)
	}
	if event.Sequence != g.result.OutputTokens {
		return false, lrengine.ErrProtocol.New("event %d instead of %d", event.Sequence, g.result.OutputTokens)
	}
	if attempt.FirstToken == 0 {
		g.noteFirst(engine, event, attempt)
	}
	if event.Done {
		g.result.FinishReason = event.FinishReason
		return true, nil
	}
	g.result.OutputTokens++
	_, _ = g.generated.WriteString(event.Text)
	err := g.sink.Deliver(event.Text)
	if err != nil {
		return false, &deliveryError{cause: err}
	}
	return false, nil
}

func (g *generation) noteFirst(engine string, event lrengine.Event, attempt *Attempt) {
	now := g.runner.clock()
	attempt.CachedTokens = event.CachedTokens
	attempt.QueuedTokens = event.QueuedTokens
	attempt.FirstToken = now.Sub(g.started)
	g.outcome = lrerror.Ran
	if len(g.result.Attempts) == 0 {
		g.result.CachedTokens = event.CachedTokens
	}
	if g.result.FirstToken == 0 {
		g.result.FirstToken = attempt.FirstToken
	}
	g.runner.placer.Learn(now, lrroute.Feedback{
		Engine: engine, Incarnation: event.Incarnation, Request: g.job.Route,
		CachedTokens: event.CachedTokens, QueuedTokens: event.QueuedTokens, FirstToken: attempt.FirstToken,
	})
}

// cancelOn tells an engine that may still be working on the request that nobody waits for it.
func (g *generation) cancelOn(engine lrengine.Engine) {
	id := g.job.Engine.RequestID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id)
	}()
}

func causeOr(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause != nil && lrengine.ErrBroken.Has(cause) {
		return cause
	}
	return err
}

type deliveryError struct{ cause error }

// Error returns the text of the cause.
func (e *deliveryError) Error() string { return "deliver to caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *deliveryError) Unwrap() error { return e.cause }
