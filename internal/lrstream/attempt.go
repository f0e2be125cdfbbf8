package lrstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	isolationPollInterval = 20 * time.Millisecond
	finishReasonLength    = "length"
	finishReasonStop      = "stop"
)

// runAttempt places the request on an engine and relays the answer. It reports whether the answer is complete, and returns an
// error if no further attempt may be made.
func (g *generation) runAttempt(ctx context.Context, number int) (bool, error) {
	err := g.awaitAdmission(ctx)
	if err != nil {
		return false, err
	}
	placement, isolated, err := g.place(ctx)
	if err != nil {
		return false, err
	}
	options := g.runner.options
	defer func() { g.runner.placer.Finish(g.runner.clock(), placement.Engine, g.job.Route) }()
	decision := options.Quarantine.Begin(g.runner.clock(), g.traits)
	if decision.Admission == lrquarantine.Rejected {
		options.Suspects.End(g.digest, placement.Engine, false)
		return false, g.quarantined(decision)
	}
	options.Ejector.Started(g.runner.clock(), placement.Engine)
	attempt := Attempt{ID: fmt.Sprintf("%s.%d", g.job.Engine.RequestID, number), Placement: placement}
	stream := &attemptStream{generation: g, attempt: &attempt}
	err = stream.relay(ctx)
	if err != nil {
		attempt.Error = err.Error()
	}
	g.result.Attempts = append(g.result.Attempts, attempt)
	if isolated {
		defer options.Suspects.End(g.digest, placement.Engine, err == nil)
	}
	if err == nil {
		options.Ejector.Succeeded(placement.Engine)
		options.Quarantine.Completed(g.runner.clock(), g.traits)
		return true, nil
	}
	return g.handleFailure(ctx, stream, isolated, err)
}

// handleFailure decides after a failed attempt whether another attempt may be made. It reports true if the answer is complete
// nevertheless, because all requested tokens have been delivered.
func (g *generation) handleFailure(ctx context.Context, stream *attemptStream, isolated bool, err error) (bool, error) {
	g.spendsBudget = !lrengine.ErrNotSent.Has(err) && !lrengine.ErrRefused.Has(err)
	if g.spendsBudget && g.result.Outcome == lrerror.NotRun {
		g.result.Outcome = lrerror.Unknown
	}
	var delivery *deliveryError
	switch {
	case errors.As(err, &delivery):
		return false, lrerror.New(lrerror.KindTimeout, lrerror.Ran, "the caller left or took the answer too slowly").WithCause(err)
	case ctx.Err() != nil:
		return false, lrerror.New(lrerror.KindTimeout, g.result.Outcome, "the request took too long or its caller left").WithCause(ctx.Err())
	case g.result.OutputTokens >= g.job.Engine.MaxTokens:
		g.result.FinishReason = finishReasonLength
		return true, nil
	}
	engine := stream.attempt.Placement.Engine
	g.job.Route.Excluded = append(slices.Clone(g.job.Route.Excluded), engine)
	g.runner.log.Warn().Err(err).Str("requestId", g.job.Engine.RequestID).Str("engine", engine).Msg("stream: attempt failed")
	g.countFailure(engine, err)
	if !lrengine.ErrBroken.Has(err) {
		return false, nil
	}
	g.runner.options.Quarantine.Crashed(g.runner.clock(), engine, g.traits)
	g.runner.options.Suspects.Crashed(ctx, g.runner.clock(), lrquarantine.Crash{
		Digest: g.digest, Server: engine, Incarnation: stream.incarnation, AttemptID: stream.attempt.ID, Isolated: isolated,
	})
	return false, g.checkQuarantine()
}

// observePause records the pause that the engine asks for in its refusal.
func (g *generation) observePause(engine string, err error) {
	var pause *lrengine.PauseError
	if !errors.As(err, &pause) {
		return
	}
	now := g.runner.clock()
	change := g.runner.options.Notices.Observe(now, now, lrnotice.Server{ID: engine}, lrnotice.Notice{Pause: pause.Pause})
	if change.Pause {
		g.runner.log.Info().Str("requestId", g.job.Engine.RequestID).Str("engine", engine).Dur("pause", pause.Pause).Msg("stream: engine wants a pause")
	}
}

// countFailure counts the failure towards the ejection of the engine. A refusal does not count.
func (g *generation) countFailure(engine string, err error) {
	if lrengine.ErrRefused.Has(err) {
		g.observePause(engine, err)
		return
	}
	if g.runner.options.Ejector.Failed(g.runner.clock(), engine) {
		g.runner.log.Warn().Str("engine", engine).Msg("stream: engine ejected after failures in a row")
	}
}

// place chooses an engine and reports whether the request runs isolated there. A suspect waits until there is an engine on which
// no other suspect runs.
func (g *generation) place(ctx context.Context) (lrroute.Placement, bool, error) {
	r := g.runner
	for {
		now := r.clock()
		occupied := g.occupied(now)
		placement, ok := g.tryPlace(now, occupied)
		if ok {
			isolated, free := r.options.Suspects.Begin(now, g.digest, placement.Engine)
			if free {
				return placement, isolated, nil
			}
			r.placer.Finish(now, placement.Engine, g.job.Route)
		}
		if !ok && len(occupied) == 0 {
			_, wait := g.runner.options.Notices.Paused(now)
			return placement, false, lrerror.New(lrerror.KindUnavailable, g.result.Outcome,
				"no engine serves model %q now; retry later", g.job.Route.Scope.Model).WithRetryAfter(wait)
		}
		if !lrsupervise.Sleep(ctx, isolationPollInterval) {
			return placement, false, lrerror.New(lrerror.KindTimeout, g.result.Outcome, "the request took too long or its caller left")
		}
		err := g.checkQuarantine()
		if err != nil {
			return placement, false, err
		}
	}
}

// occupied returns the engines that the request must avoid because another suspect runs there. For a trusted request there are
// none.
func (g *generation) occupied(now time.Time) []string {
	if g.runner.options.Suspects.State(now, g.digest) == lrquarantine.Trusted {
		return nil
	}
	return g.runner.options.Suspects.Occupied(now)
}

// tryPlace chooses an engine that wants no pause, is not ejected and has not failed the request. If there is none, it chooses an ejected engine,
// and then one that has failed the request, but never the one that failed last.
func (g *generation) tryPlace(now time.Time, occupied []string) (lrroute.Placement, bool) {
	failed := g.job.Route.Excluded
	last := failed[max(len(failed)-1, 0):]
	request := g.job.Route
	paused, _ := g.runner.options.Notices.Paused(now)
	for _, excluded := range [][]string{slices.Concat(failed, g.runner.options.Ejector.Ejected(now)), failed, last} {
		request.Excluded = slices.Concat(excluded, occupied, paused)
		placement, ok := g.runner.placer.Place(now, request)
		if ok {
			return placement, true
		}
	}
	return lrroute.Placement{}, false
}
