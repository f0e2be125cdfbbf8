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
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	isolationWait = 20 * time.Millisecond
	finishLength  = "length"
	finishStop    = "stop"
)

// attempt reports whether the answer is complete. It returns an error when no further attempt may be made.
func (g *generation) attempt(ctx context.Context, number int) (bool, error) {
	placement, isolated, err := g.place(ctx)
	if err != nil {
		return false, err
	}
	options := g.runner.options
	defer func() { g.runner.placer.Finish(g.runner.clock(), placement.Engine, g.job.Route) }()
	options.Ejector.Started(g.runner.clock(), placement.Engine)
	attempt := Attempt{ID: fmt.Sprintf("%s.%d", g.job.Engine.RequestID, number), Placement: placement}
	source := &source{generation: g, attempt: &attempt}
	err = source.stream(ctx)
	if err != nil {
		attempt.Error = err.Error()
	}
	g.result.Attempts = append(g.result.Attempts, attempt)
	if isolated {
		defer options.Suspects.End(g.digest, placement.Engine, err == nil)
	}
	if err == nil {
		options.Ejector.Succeeded(placement.Engine)
		return true, nil
	}
	return g.judge(ctx, source, isolated, err)
}

// judge decides after a failed attempt whether the answer is complete all the same and whether another attempt may be
// made.
func (g *generation) judge(ctx context.Context, source *source, isolated bool, err error) (bool, error) {
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
		g.result.FinishReason = finishLength
		return true, nil
	}
	engine := source.attempt.Placement.Engine
	g.job.Route.Excluded = append(slices.Clone(g.job.Route.Excluded), engine)
	g.runner.log.Warn().Err(err).Str("requestId", g.job.Engine.RequestID).Str("engine", engine).Msg("stream: attempt failed")
	g.blame(engine, err)
	if !lrengine.ErrBroken.Has(err) {
		return false, nil
	}
	g.runner.options.Suspects.Crashed(ctx, g.runner.clock(), lrquarantine.Crash{
		Digest: g.digest, Server: engine, Incarnation: source.incarnation, AttemptID: source.attempt.ID, Isolated: isolated,
	})
	return false, g.checkQuarantine()
}

// blame counts the failure against the engine, unless the engine has only refused the request.
func (g *generation) blame(engine string, err error) {
	if lrengine.ErrRefused.Has(err) {
		return
	}
	if g.runner.options.Ejector.Failed(g.runner.clock(), engine) {
		g.runner.log.Warn().Str("engine", engine).Msg("stream: engine ejected after failures in a row")
	}
}

// place chooses an engine. A suspect waits until there is one on which no other suspect runs.
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
			return placement, false, lrerror.New(lrerror.KindUnavailable, g.result.Outcome,
				"no engine serves model %q now; retry later", g.job.Route.Scope.Model)
		}
		if !lrsupervise.Sleep(ctx, isolationWait) {
			return placement, false, lrerror.New(lrerror.KindTimeout, g.result.Outcome, "the request took too long or its caller left")
		}
		err := g.checkQuarantine()
		if err != nil {
			return placement, false, err
		}
	}
}

// occupied returns the engines that the request must not share with another suspect.
func (g *generation) occupied(now time.Time) []string {
	if g.runner.options.Suspects.State(now, g.digest) == lrquarantine.Trusted {
		return nil
	}
	return g.runner.options.Suspects.Occupied(now)
}

// tryPlace avoids ejected engines and those that have failed the request. When no other is left it takes one of them,
// but never the one that failed last.
func (g *generation) tryPlace(now time.Time, occupied []string) (lrroute.Placement, bool) {
	failed := g.job.Route.Excluded
	last := failed[max(len(failed)-1, 0):]
	request := g.job.Route
	for _, excluded := range [][]string{slices.Concat(failed, g.runner.options.Ejector.Ejected(now)), failed, last} {
		request.Excluded = slices.Concat(excluded, occupied)
		placement, ok := g.runner.placer.Place(now, request)
		if ok {
			return placement, true
		}
	}
	return lrroute.Placement{}, false
}
