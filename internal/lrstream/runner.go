// Package lrstream runs a generation on one or more engines and delivers the text in order and without gaps or duplicates.
//
// When an engine fails, the generation resumes on another engine after the last delivered token, within the retry budget. A
// request that was in flight on an engine that crashed is a suspect: it may have caused the crash. Suspects run isolated, that
// is, without another suspect on the same engine, and a suspect on which another engine crashes is quarantined, that is, refused.
package lrstream

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	cancelTimeout = 2 * time.Second
	// maxConcurrentCancels limits the cancellations being sent. Further ones are dropped, as closing the connection to the
	// engine cancels the request as well.
	maxConcurrentCancels = 64
)

// An EngineSource looks up engines by name.
type EngineSource interface {
	Engine(name string) (lrengine.Engine, bool)
}

// A Sink receives the text of a generation in order. An error ends the generation.
type Sink interface {
	Deliver(text string) error
}

// A SuspectTracker tracks the requests that were in flight when engines crashed. A request is identified by its digest.
type SuspectTracker interface {
	// State returns whether the request is trusted, suspect or quarantined.
	State(now time.Time, digest string) lrquarantine.State
	// Begin records that the request is about to run on the engine. It reports whether it runs isolated and whether it may
	// run there now.
	Begin(now time.Time, digest, engine string) (isolated, ok bool)
	// End records that an isolated request has ended.
	End(digest, engine string, completed bool)
	// Occupied returns the engines on which a suspect runs or may be about to run.
	Occupied(now time.Time) []string
	// Crashed reports a crash to the fleet and returns the resulting state of the request.
	Crashed(ctx context.Context, now time.Time, crash lrquarantine.Crash) lrquarantine.State
}

// A Quarantine finds out which parts of prompts crash engines, and rejects requests with them.
type Quarantine interface {
	// Check decides on a request for which no engine has been chosen yet.
	Check(now time.Time, request lrquarantine.Request) lrquarantine.Decision
	// Begin decides on a request that is about to be sent to an engine.
	Begin(now time.Time, request lrquarantine.Request) lrquarantine.Decision
	// Crashed records that the engine crashed while it ran the request.
	Crashed(now time.Time, engine string, request lrquarantine.Request)
	// Completed records that an engine has completed the request.
	Completed(now time.Time, request lrquarantine.Request)
}

// A Job describes one generation: the request to the engine and the input for the placement.
type Job struct {
	Engine lrengine.Request
	Route  lrroute.Request
}

// An Attempt records the run of a generation on one engine.
type Attempt struct {
	// ID is the request identifier that was sent to the engine.
	ID               string            `json:"id"`
	Placement        lrroute.Placement `json:"placement"`
	CachedTokens     int               `json:"cachedTokens"`
	QueuedTokens     int               `json:"queuedTokens"`
	TimeToFirstToken time.Duration     `json:"firstToken"`
	Error            string            `json:"error,omitempty"`
}

// A Result summarizes a generation.
type Result struct {
	Attempts         []Attempt
	OutputTokens     int
	CachedTokens     int
	TimeToFirstToken time.Duration
	FinishReason     string
	Outcome          lrerror.Outcome
}

// Options limit a generation. Budget, Backoff, Ejector, Suspects, Notices, Quarantine and Random have defaults, which replace zero values.
type Options struct {
	MaxAttempts int
	// EventTimeout is the time without an event after which an engine counts as stalled.
	EventTimeout time.Duration
	// Budget limits the retries of this instance.
	Budget *lrretry.Budget
	// Backoff spaces the retries of one request.
	Backoff lrretry.Backoff
	// Ejector excludes failing engines for a time.
	Ejector  *lrretry.Ejector
	Suspects SuspectTracker
	// Notices holds which engines want a pause.
	Notices *lrnotice.Board
	// Quarantine judges parts of prompts, and Suspects whole requests.
	Quarantine Quarantine
	// Random returns values in [0, 1), which add jitter to the backoff.
	Random func() float64
}

// A Runner runs generations.
type Runner struct {
	engines     EngineSource
	placer      lrroute.Placer
	clock       func() time.Time
	options     Options
	log         zerolog.Logger
	cancelSlots chan struct{}
}

// NewRunner returns a Runner.
func NewRunner(engines EngineSource, placer lrroute.Placer, clock func() time.Time, options Options, log zerolog.Logger) *Runner {
	return &Runner{
		engines: engines, placer: placer, clock: clock, options: options.withDefaults(clock()), log: log,
		cancelSlots: make(chan struct{}, maxConcurrentCancels),
	}
}

// Run generates the complete answer and delivers it to the sink. When an engine fails, another one resumes after the last
// delivered token.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	digest := lrquarantine.Digest(job.Route.Scope.Account, job.Route.Scope.Model, job.Engine.Prompt)
	run := &generation{
		runner: r, job: job, sink: sink, digest: digest, started: r.clock(),
		traits: lrquarantine.NewRequest(digest, lrprefix.Contents(job.Engine.Prompt)...),
	}
	run.result.Outcome = lrerror.NotRun
	run.generated.Grow(len(job.Engine.Generated))
	err := run.checkQuarantine()
	if err != nil {
		return run.result, err
	}
	r.options.Budget.Earn()
	for retry := range r.options.MaxAttempts {
		if retry > 0 && !run.prepareRetry(ctx, retry-1) {
			break
		}
		finished, err := run.runAttempt(ctx, retry)
		if finished || err != nil {
			return run.result, err
		}
	}
	return run.result, lrerror.New(lrerror.KindBackendFailed, run.result.Outcome,
		"%d engines failed the request; retry later", len(run.result.Attempts))
}

// generation is the state of one call of Run.
type generation struct {
	runner *Runner
	job    Job
	sink   Sink
	digest string
	// traits are the properties of the request by which crashes are attributed to it.
	traits    lrquarantine.Request
	started   time.Time
	result    Result
	generated strings.Builder
	// spendsBudget is set if the last attempt may have cost an engine work, so that a retry counts against the budget.
	spendsBudget bool
}

// prepareRetry waits for the backoff and reports whether another attempt may be made.
func (g *generation) prepareRetry(ctx context.Context, retry int) bool {
	options := g.runner.options
	if g.spendsBudget && !options.Budget.Spend() {
		g.runner.log.Warn().Str("requestId", g.job.Engine.RequestID).Msg("stream: retry budget is spent")
		return false
	}
	return lrsupervise.Sleep(ctx, options.Backoff.Delay(retry, options.Random()))
}

// awaitAdmission waits while it is about to be decided whether engines crash on a part of the prompt. It returns an error if the request
// must not be sent.
func (g *generation) awaitAdmission(ctx context.Context) error {
	for {
		decision := g.runner.options.Quarantine.Check(g.runner.clock(), g.traits)
		switch decision.Admission {
		case lrquarantine.Rejected:
			return g.quarantined(decision)
		case lrquarantine.Delayed:
			if !lrsupervise.Sleep(ctx, decision.Wait) {
				return lrerror.New(lrerror.KindTimeout, g.result.Outcome, "the request took too long or its caller left")
			}
		case lrquarantine.Admitted:
			return nil
		}
	}
}

// quarantined returns the error of a request with a part on which engines crash.
func (g *generation) quarantined(decision lrquarantine.Decision) error {
	return lrerror.New(lrerror.KindQuarantined, g.result.Outcome,
		"engines crash on a part of this prompt; change it, or report the request id to the operator").
		WithRetryAfter(decision.Wait).WithCause(decision.Verdict.Err())
}

func (g *generation) checkQuarantine() error {
	now := g.runner.clock()
	if g.runner.options.Suspects.State(now, g.digest) != lrquarantine.Quarantined {
		return nil
	}
	return lrerror.New(lrerror.KindQuarantined, g.result.Outcome,
		"engines have crashed on this request twice; change the prompt, or report the request id to the operator")
}
