// Package lrledger runs paid actions at most once.
//
// A paid action is a request to a service that must not run twice, such as a payment. The client account identifies it by an
// idempotency key. The ledger is the set of records of paid actions in the platform, one record for each key. An attempt
// claims the record, then marks it as dispatched, and only then sends the action. It records the answer, from which later
// requests with the same key are answered. When the answer is lost, the action is in doubt: it is never sent again, and its
// outcome is determined by a query to the service or by an operator. The state machine is in package lrpaid.
package lrledger

import (
	"context"
	"net/http"
	"sync"
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
	// HeaderReplayed is the header of an answer that was recorded for an earlier request.
	HeaderReplayed = "Idempotent-Replayed"
	// maxRunning bounds the actions that are running on one instance or whose outcome it has yet to record.
	maxRunning = 1024
)

// Dependencies are the dependencies of a Ledger.
type Dependencies struct {
	Store    lrplatform.Store
	Services lrservice.Client
	Servers  lrgateway.ServerSource
	Log      zerolog.Logger
	// Clock returns the present time.
	Clock func() time.Time
	// RecordViolation records that the named invariant was violated.
	RecordViolation func(invariant string)
}

// Options configure a Ledger.
type Options struct {
	// Owner is the name of the instance.
	Owner  string
	Policy lrpaid.Policy
	// PollInterval is the time between two reads of a record that another attempt holds.
	PollInterval time.Duration
	// Backoff is the first delay after a failed call to the platform. It doubles with each failure, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RestoreHold is how long an instance dispatches no action after it has learned that the platform has come back from an older copy. By
	// then each instance must have learned of it and written again the records that are lost.
	RestoreHold time.Duration
}

// DefaultOptions returns the options of the instance with the given name. The timeout applies to each call to a service.
func DefaultOptions(owner string, callTimeout time.Duration) Options {
	return Options{
		Owner: owner,
		Policy: lrpaid.Policy{
			CommitTimeout: 5 * time.Second, SendWindow: 5 * time.Second, CallTimeout: callTimeout,
			TakeOverAfter: time.Second, WaitLimit: 3 * time.Second,
		},
		PollInterval: 100 * time.Millisecond, Backoff: 50 * time.Millisecond, MaxBackoff: 2 * time.Second, RestoreHold: 4 * time.Second,
	}
}

// A Ledger runs each paid action at most once. It implements lrgateway.PaidRunner and is safe for use by several
// goroutines.
type Ledger struct {
	Dependencies
	options Options
	// slots limits the number of running actions. An action holds a slot until its outcome has been recorded.
	slots *semaphore.Weighted
	mutex sync.Mutex
	// unconfirmed holds the records that are to be read again, and sending those of actions that are being sent, by nonce.
	unconfirmed []sentRecord
	sending     map[string]sentRecord
	// era is the latest era that the platform has named, eraReadAt when it last named one, and holdUntil is when actions may be dispatched again after it has come back from a
	// copy.
	era       uint64
	eraReadAt time.Time
	holdUntil time.Time
}

// New returns a Ledger.
func New(dependencies Dependencies, options Options) *Ledger {
	return &Ledger{Dependencies: dependencies, options: options, slots: semaphore.NewWeighted(maxRunning), sending: map[string]sentRecord{}}
}

// Run runs the action of the idempotency key, or returns its recorded answer. An action that is being sent continues when
// the context ends.
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
		return lrservice.Response{}, a.abandon()
	}
}

// Close waits until every action has ended and its outcome is recorded, or the context ends. No further action can start.
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
