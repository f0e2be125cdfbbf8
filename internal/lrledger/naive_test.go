package lrledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// naive is a runner that reads the recorded answer or calls the service and records its answer. It does not record its
// intent to send.
type naive struct {
	store  lrplatform.Store
	client lrservice.Client
}

func newNaive(n *node) paidRunner {
	return &naive{store: &faultyStore{n.simulation.memory, n}, client: &faultyClient{n}}
}

func (n *naive) Run(ctx context.Context, now time.Time, request lrgateway.PaidRequest) (lrservice.Response, error) {
	type result struct {
		response lrservice.Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		response, err := n.run(context.WithoutCancel(ctx), now, request)
		results <- result{response, err}
	}()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		return lrservice.Response{}, lrerror.New(lrerror.KindTimeout, lrerror.Unknown, "ended")
	}
}

func (n *naive) run(ctx context.Context, now time.Time, request lrgateway.PaidRequest) (lrservice.Response, error) {
	name := lrpaid.RecordName(request.Account, request.IdempotencyKey)
	object, err := n.store.Get(ctx, lrplatform.KindPaid, name)
	if err == nil {
		record, err := decode(object)
		return replay(*record.Answer), err
	}
	if !lrplatform.ErrNotFound.Has(err) {
		return lrservice.Response{}, lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "platform down")
	}
	response, err := n.client.Call(ctx, "10.0.0.1:80", request.Request)
	if err != nil {
		response, err = n.client.Call(ctx, "10.0.0.1:80", request.Request)
	}
	if err != nil {
		return response, lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown, "service failed")
	}
	record := lrpaid.Record{State: lrpaid.StateDone, FinishedAt: now}.WithAnswer(now, lrpaid.NewAnswer(response.Status, response.Header, response.Body))
	value, err := json.Marshal(record)
	if err != nil {
		return response, err
	}
	_, err = n.store.Create(ctx, lrplatform.KindPaid, name, value)
	if err != nil {
		return response, lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "platform down")
	}
	return response, nil
}
