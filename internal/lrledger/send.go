package lrledger

import (
	"context"
	"net/http"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// send makes the one call of an attempt that has won the right to it, and records the answer.
func (a *action) send(ctx context.Context, right stored) {
	if !a.stage.CompareAndSwap(stageOpen, stageCommitted) {
		a.release(ctx, right, a.refusal())
		return
	}
	response, err := a.call(ctx)
	switch {
	case err == nil:
		answer := lrpaid.NewAnswer(response.Status, response.Header, response.Body)
		a.converge(ctx, right, lrpaid.RecordAnswer(a.Clock(), a.attempt, answer), func() { a.finish(response, nil) })
	case lrservice.ErrNotSent.Has(err):
		a.release(ctx, right, lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"no backend server of service %s could be reached, so the action was not run; send it again with the same idempotency key",
			a.request.Route.Service).WithCause(err))
	default:
		a.Log.Error().Err(err).Str("requestId", a.request.RequestID).Msg("paid: outcome unknown, look at lavenderrouter paid list")
		a.fail(lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown,
			"the service failed after it had received the action, which is never sent twice; send it again with the same "+
				"idempotency key to learn the outcome, or ask the operator").WithCause(err))
	}
}

// call sends the action to the first backend server that can be reached. One that can't be reached has got nothing.
func (a *action) call(ctx context.Context) (lrservice.Response, error) {
	notSent := lrservice.ErrNotSent.New("there is no backend server")
	for _, s := range a.Servers.Services(a.request.Route.Service) {
		response, err := a.callOne(ctx, s.Address)
		if err == nil || !lrservice.ErrNotSent.Has(err) {
			return response, err
		}
		notSent = err
	}
	return lrservice.Response{}, notSent
}

func (a *action) callOne(ctx context.Context, address string) (lrservice.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, a.policy.CallTimeout)
	defer cancel()
	request := a.request.Request
	request.SendBefore = a.policy.SendBefore(a.dispatchBegan)
	return a.Services.Call(ctx, address, request)
}

// release answers and then gives the right to send back, so that a resent request may run the action. Until then no
// other attempt can have run it.
func (a *action) release(ctx context.Context, right stored, refusal error) {
	a.fail(refusal)
	a.converge(ctx, right, lrpaid.Release(a.attempt), func() {})
}

// query asks the service for the outcome of an earlier attempt. The service answers 200 with the answer of the action,
// 410 when the action has not run and will be refused from now on, and anything else when it can't tell.
func (a *action) query(ctx context.Context, seen sight) (stored, lrpaid.Step) {
	observed := seen.record
	for _, s := range a.Servers.Services(a.request.Route.Service) {
		response, err := a.ask(ctx, s.Address, observed)
		if err != nil {
			continue
		}
		change, ok := adoption(a, observed, response)
		if !ok {
			continue
		}
		settled, err := a.apply(ctx, seen.stored, change)
		if err != nil || !settled.record.State.Settled() {
			break
		}
		return settled, lrpaid.Decide(a.Clock(), a.attempt, lrpaid.View{Exists: true, Record: settled.record}, a.policy)
	}
	return seen.stored, lrpaid.StepReportUnknown
}

func (a *action) ask(ctx context.Context, address string, observed lrpaid.Record) (lrservice.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, a.policy.WaitLimit)
	defer cancel()
	header := http.Header{}
	header.Set(lrgateway.HeaderIdempotencyKey, observed.IdempotencyKey)
	header.Set(lrgateway.HeaderRequestID, observed.RequestID)
	return a.Services.Call(ctx, address, lrservice.Request{Method: http.MethodGet, Path: a.request.Route.Query, Header: header})
}

func adoption(a *action, observed lrpaid.Record, response lrservice.Response) (lrpaid.Change, bool) {
	now := a.Clock()
	switch response.Status {
	case http.StatusOK:
		return lrpaid.Adopt(now, observed, lrpaid.NewAnswer(response.Status, response.Header, response.Body)), true
	case http.StatusGone:
		return lrpaid.Resolve(observed, lrpaid.Resolution{
			Outcome: lrpaid.ResolvedNotRun, Reason: "the service was asked", Who: "the service", When: now,
		}), true
	default:
		return nil, false
	}
}
