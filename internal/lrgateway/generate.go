package lrgateway

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// generate serves a chat or text completion. It reserves tokens for the prompt and the longest answer allowed, and
// settles the reservation with the tokens used.
func (g *Gateway) generate(ctx context.Context, call *Call) error {
	request, err := parseCompletion(call.Request.URL.Path, call.Body)
	if err != nil {
		return err
	}
	use := modelUse{model: request.Model, adapter: request.Adapter}
	model, err := allowedModel(call.Snapshot, call.Plan, use)
	if err != nil {
		return err
	}
	if lrkey.ContainsKey([]byte(request.PromptText)) {
		return keyExposed()
	}
	call.activeCall.setUse(use)
	err = call.activeCall.check(g.Config.Snapshot())
	if err != nil {
		return err
	}
	tokens := lrprefix.Tokens(request.PromptText)
	call.explanation.Model = model.Name
	call.explanation.PromptTokens = tokens
	reservation, err := g.Limiter.Reserve(ctx, g.Clock(), lrlimit.Request{
		Account: call.Account.Name, Rate: call.Plan.Rate, Burst: call.Plan.Burst,
		Tokens: float64(tokens + request.MaxTokens),
	})
	if err != nil {
		return err
	}
	var result lrstream.Result
	defer func() { reservation.Settle(g.Clock(), usedTokens(tokens, result)) }()
	result, err = g.runQueued(ctx, call, request, model)
	return err
}

// runQueued waits in the queue and runs the request at the weights version that is served when the wait ends. It leaves the
// queue at the first text of the answer, or when the request ends.
func (g *Gateway) runQueued(ctx context.Context, call *Call, request completionRequest, model lrconfig.Model) (lrstream.Result, error) {
	queuedAt := g.Clock()
	release, err := g.Queue.Enter(ctx, queuedAt, lrqueue.Entry{
		Account: call.Account.Name, Priority: call.priority(), Tokens: call.explanation.PromptTokens,
	})
	if err != nil {
		return lrstream.Result{}, err
	}
	releaseOnce := sync.OnceFunc(func() { release(g.Clock()) })
	defer releaseOnce()
	call.explanation.Queued = g.Clock().Sub(queuedAt)
	sink := g.newCompletionSink(call, request)
	sink.onFirstText = releaseOnce
	job, result, err := g.runAtServedVersion(ctx, call, request, model, sink)
	call.recordResult(result)
	g.observe(call, job, result)
	if err != nil {
		sink.fail(lrerror.From(preferCause(ctx, err)))
		return result, err
	}
	call.explanation.Outcome = lrerror.Ran
	return result, sink.finish(job, result)
}

// runAtServedVersion runs the request at the weights version that engines serve. A request that did not run on any engine is
// tried again if the served version has changed in the meantime.
func (g *Gateway) runAtServedVersion(
	ctx context.Context, call *Call, request completionRequest, model lrconfig.Model, sink *completionSink,
) (lrstream.Job, lrstream.Result, error) {
	for {
		model.Version = g.servedVersion(model)
		job := newJob(call, request, model)
		result, err := g.Runner.Run(ctx, job, sink)
		if err == nil || result.Outcome != lrerror.NotRun || g.servedVersion(model) == model.Version {
			return job, result, err
		}
	}
}

// servedVersion returns the weights version at which requests for the model are served now.
func (g *Gateway) servedVersion(model lrconfig.Model) string {
	if g.Versions == nil {
		return model.Version
	}
	return g.Versions.ServedVersion(model.Name)
}

func (g *Gateway) observe(call *Call, job lrstream.Job, result lrstream.Result) {
	if result.TimeToFirstToken == 0 {
		return
	}
	firstToken := call.explanation.Queued + result.TimeToFirstToken
	g.Metrics.FirstToken.Observe(firstToken.Seconds())
	g.Metrics.AccountTailLatencies.Observe(call.Account.Name, firstToken)
	g.Metrics.PromptTokens.WithLabelValues("true").Add(float64(result.CachedTokens))
	g.Metrics.PromptTokens.WithLabelValues("false").Add(float64(job.Route.Tokens - result.CachedTokens))
	g.Metrics.WastedTokens.Add(float64(wastedTokens(result)))
}

// wastedTokens returns the number of prompt tokens that the engine of the first attempt computed although some engine was known
// to have computed them already.
func wastedTokens(result lrstream.Result) int {
	if len(result.Attempts) == 0 {
		return 0
	}
	first := result.Attempts[0]
	return max(first.Placement.KnownTokens-first.CachedTokens, 0)
}

// allowedModel returns the model if the plan allows both the model and the adapter.
func allowedModel(snapshot *lrconfig.Snapshot, plan lrconfig.Plan, use modelUse) (lrconfig.Model, error) {
	model, ok := snapshot.Catalog().Model(use.model)
	if !ok || !slices.Contains(plan.Models, use.model) {
		return model, lrerror.New(lrerror.KindModelNotFound, lrerror.NotRun,
			"there is no model %q for this client account; use one of: %s", use.model, strings.Join(plan.Models, ", "))
	}
	if use.adapter != "" && (!slices.Contains(model.Adapters, use.adapter) || !slices.Contains(plan.Adapters, use.adapter)) {
		return model, lrerror.New(lrerror.KindModelNotFound, lrerror.NotRun,
			"there is no adapter %q of model %q for this client account; use one of: %s",
			use.adapter, use.model, strings.Join(plan.Adapters, ", "))
	}
	return model, nil
}

func newJob(call *Call, request completionRequest, model lrconfig.Model) lrstream.Job {
	scope := lrprefix.Scope{Account: call.Account.Name, Model: model.Name, Adapter: request.Adapter, Version: model.Version}
	salt := scope.Salt()
	return lrstream.Job{
		Engine: lrengine.Request{
			RequestID: call.ID, Salt: salt.String(), Model: model.Name, Adapter: request.Adapter, Version: model.Version,
			Prompt: request.PromptText, MaxTokens: request.MaxTokens, Priority: call.priority(),
		},
		Route: lrroute.Request{
			ID: call.ID, Scope: scope, Chain: lrprefix.Chain(salt, request.PromptText),
			Tokens: lrprefix.Tokens(request.PromptText), MaxOutputTokens: request.MaxTokens,
		},
	}
}

// usedTokens returns the number of tokens that a generation costs its client account. A request that ran on no engine costs none.
func usedTokens(promptTokens int, result lrstream.Result) float64 {
	if result.Outcome == lrerror.NotRun || len(result.Attempts) == 0 {
		return 0
	}
	return float64(promptTokens + result.OutputTokens)
}
