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
	duration := p.Clock().Sub(r.Received)
	p.Observer.Ended(r.route.Name, outcome, duration)
	p.Observer.PromptAnswered(r.promptTokens())
	r.logAttempt(zerolog.InfoLevel, server, outcome).Dur("took", duration).Uint64("table", r.table).Int64("weights", server.Versions[r.Model]).
		Int("missing", r.choice.Missing).Int("fetched", r.choice.Fetched).Bool("fromStore", r.choice.FetchesFromStore).Bool("saved", r.choice.SavesToStore).Int("rank", r.choice.Rank).Dur("expectedWait", r.choice.Wait).
		Str("admission", string(r.decision.Reason)).
		Int("candidates", r.choice.Candidates).Strs("heldBack", r.heldBack.logged()).Strs("parts", r.loggedParts()).Msg("request: ended")
}

func (r *run) promptTokens() PromptTokens {
	c := r.choice
	tokens := PromptTokens{Computed: c.Missing, Cached: max(r.PromptTokens-c.Missing-c.Fetched, 0)}
	if c.FetchesFromStore {
		tokens.FromStore = c.Fetched
	} else {
		tokens.FromEngine = c.Fetched
	}
	if c.SavesToStore {
		tokens.Saved = r.PromptTokens
	}
	return tokens
}

// fail answers a request that no backend server has served.
func (r *run) fail(ctx context.Context, reason string) {
	p := r.pipeline
	if r.possibleRuns == 0 {
		p.Limiter.Return(r.account.Name, r.tokens)
	}
	timedOut := errors.Is(context.Cause(ctx), errRouteTimeout)
	disconnected := ctx.Err() != nil && !timedOut
	p.Observer.Ended(r.route.Name, reason, p.Clock().Sub(r.Received))
	switch {
	case disconnected:
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Int("runs", r.possibleRuns).Msg("request: caller has gone")
		r.caller.Abort()
	case r.headSent:
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Str("lastEvent", r.lastEventID).Bool("timedOut", timedOut).Msg("request: stream cut")
		r.caller.Abort()
	case r.failure != nil:
		_ = r.caller.Answer(r.failure, r.failureBody)
	default:
		p.refuse(r.admittedRequest, r.caller, r.finalRefusal(timedOut))
	}
}

func (r *run) finalRefusal(timedOut bool) *lrerror.Error {
	switch {
	case r.possibleRuns == 0 && r.rejection != nil:
		return crashing(r.admittedRequest, r.rejection.Verdict, r.rejection.Wait)
	case r.attempts == 0 && !r.decision.IsAccepted():
		return overloaded(r.decision)
	case r.possibleRuns == 0 && timedOut:
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "no backend server took the request in time; try again")
	case r.possibleRuns == 0 && len(r.heldBack.servers) > 0:
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "%d backend servers want no more requests now; try again", len(r.heldBack.servers)).
			WithRetryAfter(r.heldBack.retryAfter())
	case r.possibleRuns == 0:
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "no backend server can take the request now; try again").
			WithRetryAfter(busyRetryAfter)
	case timedOut:
		return lrerror.New(lrerror.KindTimeout, lrerror.Unknown, "the answer did not come in time; the request may have run")
	default:
		return lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown, "the backend server broke off; the request may have run")
	}
}
