// Package lrledger runs paid actions at most once, on records that it keeps in the platform.
package lrledger

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

const (
	// HeaderReplayed marks an answer that comes from the record of an earlier request.
	HeaderReplayed = "Idempotent-Replayed"
	// maxRunning bounds the actions that one instance has under way or still to record.
	maxRunning = 1024
)

// Parts are what a Ledger works with.
type Parts struct {
	Store    lrplatform.Store
	Services lrservice.Client
	Servers  lrgateway.ServerSource
	Log      zerolog.Logger
	// Clock returns the present time.
	Clock func() time.Time
	// Violated is called with the name of an invariant that does not hold.
	Violated func(invariant string)
}

// Options bound a Ledger.
type Options struct {
	// Owner is the name of the instance.
	Owner  string
	Policy lrpaid.Policy
	// PollInterval is the time between two readings of a record that another attempt holds.
	PollInterval time.Duration
	// Backoff is the first pause after a failed call to the platform. It doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultOptions returns the options of the instance for the given bound on a call to a service.
func DefaultOptions(owner string, callTimeout time.Duration) Options {
	return Options{
		Owner: owner,
		Policy: lrpaid.Policy{
			CommitTimeout: 5 * time.Second, SendWindow: 5 * time.Second, CallTimeout: callTimeout,
			TakeOverAfter: time.Second, WaitLimit: 3 * time.Second,
		},
		PollInterval: 100 * time.Millisecond, Backoff: 50 * time.Millisecond, MaxBackoff: 2 * time.Second,
	}
}

// A Ledger runs each paid action at most once. It is an lrgateway.PaidRunner.
type Ledger struct {
	Parts
	options Options
	// slots are held by actions until their records say what has become of them.
	slots *semaphore.Weighted
}

// New returns a Ledger.
func New(parts Parts, options Options) *Ledger {
	return &Ledger{Parts: parts, options: options, slots: semaphore.NewWeighted(maxRunning)}
}

// Run returns the answer of the one call that the idempotency key stands for. A call that has been dispatched goes on
// when the context ends.
func (l *Ledger) Run(ctx context.Context, _ time.Time, request lrgateway.PaidRequest) (lrservice.Response, error) {
	err := checkKey(request)
	if err != nil {
		return lrservice.Response{}, err
	}
	if !l.slots.TryAcquire(1) {
		return lrservice.Response{}, lrerror.New(lrerror.KindOverloaded, lrerror.NotRun,
			"this instance has too many paid actions under way, or is stopping; send the request again with the same idempotency key")
	}
	a := newAction(l, request)
	lrsupervise.Go(l.Log, "paidAction", func() { a.run(context.WithoutCancel(ctx)) })
	select {
	case <-a.done:
		return a.response, a.err
	case <-ctx.Done():
		return lrservice.Response{}, a.leave()
	}
}

// Close waits until every action has ended and its record says so, or the context ends. No action can start any more.
func (l *Ledger) Close(ctx context.Context) {
	err := l.slots.Acquire(ctx, maxRunning)
	if err != nil {
		l.Log.Error().Msg("paid: stopped before every outcome was recorded; look at lavenderrouter paid list")
		return
	}
	l.Log.Info().Msg("paid: every action has ended and is recorded")
}

func checkKey(request lrgateway.PaidRequest) error {
	values := request.Request.Header.Values(lrgateway.HeaderIdempotencyKey)
	if len(values) > 1 {
		return lrerror.New(lrerror.KindBadRequest, lrerror.NotRun,
			"there is more than one %s header; send one", lrgateway.HeaderIdempotencyKey)
	}
	if !lrpaid.ValidKey(request.IdempotencyKey) {
		return lrerror.New(lrerror.KindBadRequest, lrerror.NotRun,
			"the %s header must hold 1 to %d visible ASCII characters; send one that is unique to the action",
			lrgateway.HeaderIdempotencyKey, lrpaid.MaxKeyBytes)
	}
	return nil
}

func replay(answer lrpaid.Answer) lrservice.Response {
	header := answer.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderReplayed, "true")
	return lrservice.Response{Status: answer.Status, Header: header, Body: answer.Body}
}
