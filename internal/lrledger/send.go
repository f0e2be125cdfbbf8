package lrledger

import (
	"context"
	"net/http"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// maxServers bounds the number of backend servers that one attempt tries to reach.
const maxServers = 4

// send sends the action for an attempt whose record is dispatched, which gives it the right to send once. It records the
// answer.
func (a *action) send(ctx context.Context, dispatched stored) {
	if !a.stage.CompareAndSwap(stageOpen, stageCommitted) {
		a.release(ctx, dispatched, a.refusal())
		return
	}
	a.recordSending(a.name, dispatched.record)
	defer a.recordEnd(a.attempt.Nonce)
	response, err := a.call(ctx)
	switch {
	case err == nil:
		a.answered = dispatched
		answer := lrpaid.NewAnswer(response.Status, response.Header, response.Body)
		now := a.Clock()
		a.converge(ctx, dispatched, lrpaid.RecordAnswer(now, a.attempt, answer), func() { a.finish(response, nil) })
		a.confirmLater(a.name, dispatched.record.WithAnswer(now, answer), confirmDelay)
	case lrservice.ErrNotSent.Has(err) && !a.Clock().Before(a.policy.SendDeadline(a.dispatchStartedAt)):
		a.release(ctx, dispatched, lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"the time to send the action was over, so this request was not run; send it again with the same idempotency key, "+
				"which also tells whether another request with the key has run"))
	case lrservice.ErrNotSent.Has(err):
		a.release(ctx, dispatched, lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"no backend server of service %s could be reached, so the action was not run; send it again with the same idempotency key",
			a.request.Route.Service).WithCause(err))
	default:
		a.Log.Error().Err(err).Str("requestId", a.request.RequestID).Msg("paid: outcome unknown, look at lavenderrouter paid list")
		a.fail(lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown,
			"the service failed after it had received the action, which is never sent twice; send it again with the same "+
				"idempotency key to learn the outcome, or ask the operator").WithCause(err))
		a.confirmLater(a.name, dispatched.record, confirmDelay)
	}
}

// candidates returns the backend servers to which the action may be sent, the preferred one first.
func (a *action) candidates() []lrpaid.Server {
	var candidates []lrpaid.Server
	for _, s := range a.Servers.Services(a.request.Route.Service) {
		if len(candidates) < maxServers {
			candidates = append(candidates, lrpaid.Server{Name: s.Name, Address: s.Address})
		}
	}
	return candidates
}

// call sends the action to the first backend server that can be reached. It tries the next one only when it is certain that
// the server before received nothing.
func (a *action) call(ctx context.Context) (lrservice.Response, error) {
	notSent := lrservice.ErrNotSent.New("there is no backend server")
	for _, s := range a.servers {
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
	request.SendBefore = a.policy.SendDeadline(a.dispatchStartedAt)
	return a.Services.Call(ctx, address, request)
}

// release answers the caller and then releases the right to send, so that a resent request can run the action. It answers
// first because until the release no other attempt can have run the action.
func (a *action) release(ctx context.Context, dispatched stored, refusal error) {
	a.fail(refusal)
	a.recordEnd(a.attempt.Nonce)
	a.converge(ctx, dispatched, lrpaid.Release(a.attempt), func() {})
}

// queryOutcome asks the backend servers to which an earlier attempt may have sent the action for its outcome. A server
// answers 200 with the answer of the action, 410 when it has not run the action and will refuse it from now on, and any
// other status when the outcome is unknown to it.
func (a *action) queryOutcome(ctx context.Context, seen observation) (stored, lrpaid.Step) {
	change, ok := a.determineOutcome(ctx, seen.record)
	if !ok {
		return seen.stored, lrpaid.StepReportUnknown
	}
	settled, err := a.apply(ctx, seen.stored, change)
	if err != nil || !settled.record.State.Settled() {
		return seen.stored, lrpaid.StepReportUnknown
	}
	return settled, lrpaid.Decide(a.Clock(), a.attempt, lrpaid.View{Exists: true, Record: settled.record}, a.policy)
}

func (a *action) determineOutcome(ctx context.Context, observed lrpaid.Record) (lrpaid.Change, bool) {
	refusing := 0
	for _, s := range observed.Servers {
		response, err := a.queryServer(ctx, s.Address, observed)
		if err != nil {
			continue
		}
		switch response.Status {
		case http.StatusOK:
			answer := lrpaid.NewAnswer(response.Status, response.Header, response.Body)
			return lrpaid.RecordQueriedAnswer(a.Clock(), observed, answer), true
		case http.StatusGone:
			refusing++
		}
	}
	return lrpaid.Resolve(observed, lrpaid.Resolution{
		Outcome: lrpaid.ResolvedNotRun, Reason: "every backend server was asked", Who: "the service", When: a.Clock(),
	}), refusing > 0 && refusing == len(observed.Servers)
}

func (a *action) queryServer(ctx context.Context, address string, observed lrpaid.Record) (lrservice.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, a.policy.WaitLimit)
	defer cancel()
	header := http.Header{}
	header.Set(lrgateway.HeaderIdempotencyKey, observed.IdempotencyKey)
	header.Set(lrgateway.HeaderRequestID, observed.RequestID)
	return a.Services.Call(ctx, address, lrservice.Request{Method: http.MethodGet, Path: a.request.Route.Query, Header: header})
}
