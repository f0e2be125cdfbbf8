package lrledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// The stages of an action decide the race between its caller's cancellation and its sending.
const (
	stageOpen int32 = iota
	stageCommitted
	stageAbandoned
)

// action is one attempt to run a paid action, made for one request of a caller.
type action struct {
	*Ledger
	request   lrgateway.PaidRequest
	attempt   lrpaid.Attempt
	policy    lrpaid.Policy
	name      string
	startedAt time.Time
	stage     atomic.Int32
	// dispatchStartedAt is when the attempt began its first write of the dispatched state.
	dispatchStartedAt time.Time
	// servers are the backend servers to which the action may be sent, the preferred one first.
	servers []lrpaid.Server
	// heldByAnother means that the record belonged to another attempt when it was last read.
	heldByAnother bool
	// mayHaveWritten means that a write of this attempt may have taken effect or may still do so.
	mayHaveWritten bool
	// answered is the dispatched record, set once the service has answered.
	answered stored

	finishOnce sync.Once
	done       chan struct{}
	response   lrservice.Response
	err        error
}

func newAction(l *Ledger, request lrgateway.PaidRequest) *action {
	policy := l.options.Policy
	policy.CanQuery = request.Route.Query != ""
	sent := request.Request
	return &action{
		Ledger: l, request: request, policy: policy, startedAt: l.Clock(), done: make(chan struct{}),
		name: lrpaid.RecordName(request.Account, request.IdempotencyKey),
		attempt: lrpaid.Attempt{
			Account: request.Account, IdempotencyKey: request.IdempotencyKey, Route: request.Route.Name,
			Fingerprint: lrpaid.Fingerprint(sent.Method, request.Route.Name, sent.Path, sent.Body),
			Owner:       l.options.Owner, Nonce: uuid.NewString(), RequestID: request.RequestID,
		},
	}
}

// run runs the action to its end and records the outcome, also after the caller has received its answer.
func (a *action) run(ctx context.Context) {
	defer a.slots.Release(1)
	defer a.recoverPanic()
	object, step := a.advance(ctx)
	switch step {
	case lrpaid.StepSend:
		a.send(ctx, object)
	case lrpaid.StepReplay, lrpaid.StepReportResolved, lrpaid.StepReportUnknown, lrpaid.StepRefuseMismatch:
		a.answerFrom(object.record, step)
	default:
		a.refuse(ctx, a.refusal())
	}
}

func (a *action) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	a.Log.Error().Str("requestId", a.request.RequestID).Str("panic", fmt.Sprint(value)).Msg("paid: action failed")
	a.fail(lrerror.From(fmt.Errorf("panic: %v", value)))
}

// finish answers the caller. Only the first call has an effect.
func (a *action) finish(response lrservice.Response, err error) {
	a.finishOnce.Do(func() {
		a.response, a.err = response, err
		close(a.done)
	})
}

func (a *action) fail(err error) { a.finish(lrservice.Response{}, err) }

// abandon is called when the caller's context has ended. It prevents the sending of the action unless that has begun.
func (a *action) abandon() error {
	if a.stage.CompareAndSwap(stageOpen, stageAbandoned) {
		return lrerror.New(lrerror.KindTimeout, lrerror.NotRun,
			"the request ended before it was sent to the service; send it again with the same idempotency key")
	}
	return lrerror.New(lrerror.KindTimeout, lrerror.Unknown,
		"the request ended after it was sent to the service; send it again with the same idempotency key to learn the outcome")
}

// stored is a platform object and the record that it contains.
type stored struct {
	object lrplatform.Object
	record lrpaid.Record
}

// refuse answers the caller of an attempt that has sent nothing, and then releases the record if the attempt may have
// written it.
func (a *action) refuse(ctx context.Context, refusal error) {
	a.fail(refusal)
	if a.mayHaveWritten {
		a.converge(ctx, stored{}, lrpaid.Release(a.attempt), func() {})
	}
}

func (a *action) refusal() error {
	if a.heldByAnother {
		return unknownOutcome()
	}
	return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
		"the platform can't record the paid action, so this request was not run; send it again with the same idempotency key, "+
			"which also tells whether an earlier request with the key has run")
}

func unknownOutcome() error {
	return lrerror.New(lrerror.KindConflict, lrerror.Unknown,
		"an earlier request with this idempotency key is under way or its outcome is in doubt; send it again later with the "+
			"same key, or ask the operator to look at lavenderrouter paid list")
}

func (a *action) answerFrom(record lrpaid.Record, step lrpaid.Step) {
	switch {
	case step == lrpaid.StepRefuseMismatch:
		a.fail(lrerror.New(lrerror.KindIdempotencyMismatch, lrerror.NotRun,
			"the idempotency key stands for another request of this client account; send a new key for a new action"))
	case step == lrpaid.StepReportUnknown:
		a.fail(unknownOutcome())
	case step == lrpaid.StepReportResolved:
		a.fail(resolvedOutcome(record))
	case record.Answer.Truncated:
		a.fail(lrerror.New(lrerror.KindConflict, lrerror.Ran,
			"the action has run and the service answered with status %d; its %d bytes are too many to be kept, so ask the service for them",
			record.Answer.Status, record.Answer.Length))
	default:
		a.finish(replay(*record.Answer), nil)
	}
}

func resolvedOutcome(record lrpaid.Record) error {
	if record.Resolution.Outcome == lrpaid.ResolvedDone {
		return lrerror.New(lrerror.KindConflict, lrerror.Ran,
			"the action has run; its answer was lost and %s found out that it has run", record.Resolution.Who)
	}
	return lrerror.New(lrerror.KindConflict, lrerror.NotRun,
		"the action has not run and never will under this idempotency key, as %s found out; send a new key", record.Resolution.Who)
}
