// Package lrstream runs one generation over one or several engines and delivers its events whole and in order.
package lrstream

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	cancelTimeout = 2 * time.Second
	// maxCancels is the most cancellations that are on their way at once. Closing the connection cancels as well.
	maxCancels = 64
)

// An Engines finds engines by name.
type Engines interface {
	Engine(name string) (lrengine.Engine, bool)
}

// A Sink takes the text of a stream, in order. An error ends the stream.
type Sink interface {
	Deliver(text string) error
}

// A Suspects knows the requests that were in flight when engines crashed.
type Suspects interface {
	// State returns what is thought of the request.
	State(now time.Time, digest string) lrquarantine.State
	// Begin reports whether the request runs isolated on the engine and whether it may run there now.
	Begin(now time.Time, digest, engine string) (isolated, ok bool)
	// End notes that an isolated request has ended.
	End(digest, engine string, completed bool)
	// Occupied returns the engines on which a suspect runs or may be about to.
	Occupied(now time.Time) []string
	// Crashed reports a crash to the fleet and returns what is thought of the request now.
	Crashed(ctx context.Context, now time.Time, crash lrquarantine.Crash) lrquarantine.State
}

// A Job is one generation.
type Job struct {
	Engine lrengine.Request
	Route  lrroute.Request
}

// An Attempt is what happened on one engine.
type Attempt struct {
	// ID is the request identifier that the engine got.
	ID           string            `json:"id"`
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
	Outcome      lrerror.Outcome
}

// Options bound a generation. A part that is nil is replaced by its default.
type Options struct {
	MaxAttempts int
	// EventTimeout is the longest silence of an engine before it counts as frozen.
	EventTimeout time.Duration
	// Budget bounds the retries of this instance.
	Budget *lrretry.Budget
	// Backoff spaces the retries of one request.
	Backoff lrretry.Backoff
	// Ejector takes failing engines out of use.
	Ejector  *lrretry.Ejector
	Suspects Suspects
	// Random returns values in [0, 1).
	Random func() float64
}

// A Runner runs generations.
type Runner struct {
	engines Engines
	placer  lrroute.Placer
	clock   func() time.Time
	options Options
	log     zerolog.Logger
	cancels chan struct{}
}

// NewRunner returns a Runner.
func NewRunner(engines Engines, placer lrroute.Placer, clock func() time.Time, options Options, log zerolog.Logger) *Runner {
	return &Runner{
		engines: engines, placer: placer, clock: clock, options: options.withDefaults(), log: log,
		cancels: make(chan struct{}, maxCancels),
	}
}

// Run generates the whole answer and delivers it to the sink. When an engine fails it goes on with another one from
// the last delivered token.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	digest := lrquarantine.Digest(job.Route.Scope.Account, job.Route.Scope.Model, job.Engine.Prompt)
	run := &generation{runner: r, job: job, sink: sink, digest: digest, started: r.clock()}
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
		finished, err := run.attempt(ctx, retry)
		if finished || err != nil {
			return run.result, err
		}
	}
	return run.result, lrerror.New(lrerror.KindBackendFailed, run.result.Outcome,
		"%d engines failed the request; retry later", len(run.result.Attempts))
}

// generation is the state of one Run.
type generation struct {
	runner    *Runner
	job       Job
	sink      Sink
	digest    string
	started   time.Time
	result    Result
	generated strings.Builder
	// spendsBudget is set when the last attempt has cost an engine work.
	spendsBudget bool
}

// prepareRetry reports whether another attempt may be made, after a wait.
func (g *generation) prepareRetry(ctx context.Context, retry int) bool {
	options := g.runner.options
	if g.spendsBudget && !options.Budget.Spend() {
		g.runner.log.Warn().Str("requestId", g.job.Engine.RequestID).Msg("stream: retry budget is spent")
		return false
	}
	return lrsupervise.Sleep(ctx, options.Backoff.Delay(retry, options.Random()))
}

func (g *generation) checkQuarantine() error {
	now := g.runner.clock()
	if g.runner.options.Suspects.State(now, g.digest) != lrquarantine.Quarantined {
		return nil
	}
	return lrerror.New(lrerror.KindQuarantined, g.result.Outcome,
		"engines have crashed on this request twice; change the prompt, or report the request id to the operator")
}
