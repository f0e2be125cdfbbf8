package lrpipeline

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

func outcomeOf(err error) string {
	if err != nil {
		return "callerGone"
	}
	return "served"
}

func (r *run) finish(server lrfleet.Server, outcome string) {
	p := r.pipeline
	took := p.Clock().Sub(r.Received)
	p.Observer.Ended(r.route.Name, outcome, took)
	p.Observer.Prompted(r.promptTokens())
	r.logAttempt(zerolog.InfoLevel, server, outcome).Dur("took", took).Uint64("table", r.table).Int64("weights", server.Versions[r.Model]).
		Int("missing", r.choice.Missing).Int("fetched", r.choice.Fetched).Bool("fromStore", r.choice.FromStore).Bool("saved", r.choice.IsSaved).Int("rank", r.choice.Rank).Dur("expectedWait", r.choice.Wait).
		Int("candidates", r.choice.Candidates).Msg("request: ended")
}

func (r *run) promptTokens() PromptTokens {
	c := r.choice
	tokens := PromptTokens{Computed: c.Missing, Held: max(r.PromptTokens-c.Missing-c.Fetched, 0)}
	if c.FromStore {
		tokens.FromStore = c.Fetched
	} else {
		tokens.FromEngine = c.Fetched
	}
	if c.IsSaved {
		tokens.Saved = r.PromptTokens
	}
	return tokens
}

// end gives a request that no backend server has answered its last answer.
func (r *run) end(ctx context.Context, reason string) {
	p := r.pipeline
	if r.runs == 0 {
		p.Limiter.Return(r.account.Name, r.tokens)
	}
	timedOut := errors.Is(context.Cause(ctx), errRouteTimeout)
	gone := ctx.Err() != nil && !timedOut
	p.Observer.Ended(r.route.Name, reason, p.Clock().Sub(r.Received))
	switch {
	case gone:
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Int("runs", r.runs).Msg("request: caller has gone")
		r.caller.Abort()
	case r.begun:
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Str("lastEvent", r.lastEvent).Bool("timedOut", timedOut).Msg("request: stream cut")
		r.caller.Abort()
	case r.failure != nil:
		_ = r.caller.Answer(r.failure, r.failureBody)
	default:
		p.refuse(r.admitted, r.caller, r.lastRefusal(timedOut))
	}
}

func (r *run) lastRefusal(timedOut bool) *lrerror.Error {
	switch {
	case r.runs == 0 && timedOut:
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "no backend server took the request in time; try again")
	case r.runs == 0:
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "no backend server can take the request now; try again").
			WithRetryAfter(busyRetryAfter)
	case timedOut:
		return lrerror.New(lrerror.KindTimeout, lrerror.Unknown, "the answer did not come in time; the request may have run")
	default:
		return lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown, "the backend server broke off; the request may have run")
	}
}
