package lrledger

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// converge tries to apply the change to the record until the platform has confirmed it or it is no longer needed. It calls
// afterTry after each try. With an empty start it reads the record first.
func (a *action) converge(ctx context.Context, start stored, change lrpaid.Change, afterTry func()) {
	backoff := a.options.Backoff
	for ctx.Err() == nil {
		after, err := a.apply(ctx, start, change)
		afterTry()
		if err == nil {
			a.checkOutcome(after.record)
			return
		}
		a.Log.Warn().Err(err).Str("requestId", a.request.RequestID).Msg("paid: outcome not recorded yet, trying again")
		lrsupervise.Sleep(ctx, backoff)
		backoff = min(2*backoff, a.options.MaxBackoff)
		start = stored{}
	}
}

// apply tries once to apply the change, and reads the record when there is none at the start or the write fails. It
// returns the record after the change.
func (a *action) apply(ctx context.Context, start stored, change lrpaid.Change) (stored, error) {
	if start.object.Version == 0 {
		seen, err := read(ctx, a.Store, a.name)
		if lrplatform.ErrNotFound.Has(err) {
			return a.createAgain(ctx, change)
		}
		if err != nil {
			return stored{}, err
		}
		start = seen
	}
	return update(ctx, a.Store, start, change)
}

// createAgain writes the changed record anew if the service has answered this attempt: the platform came back from an older copy, which lacks
// the record. A missing record of an action that was not sent needs no change.
func (a *action) createAgain(ctx context.Context, change lrpaid.Change) (stored, error) {
	if a.answered.object.Version == 0 {
		return stored{}, nil
	}
	record, _ := change(a.answered.record)
	return create(ctx, a.Store, a.name, record)
}

// create writes a record of which the platform has none.
func create(ctx context.Context, store lrplatform.Store, name string, record lrpaid.Record) (stored, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return stored{}, fmt.Errorf("encode record: %w", err)
	}
	object, err := store.Create(ctx, lrplatform.KindPaid, name, value)
	return stored{object, record}, err
}

// update writes the changed record, once and conditionally. It writes nothing when the change is not needed. After a failed
// write it reads the record, since only the reply may have been lost.
func update(ctx context.Context, store lrplatform.Store, start stored, change lrpaid.Change) (stored, error) {
	record, needed := change(start.record)
	if !needed {
		return start, nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return start, fmt.Errorf("encode record: %w", err)
	}
	object, err := store.Update(ctx, start.object.WithValue(value))
	if err == nil {
		return stored{object, record}, nil
	}
	seen, readErr := read(ctx, store, start.object.Name)
	if readErr != nil {
		return start, err
	}
	_, needed = change(seen.record)
	if needed {
		return seen, err
	}
	return seen, nil
}

func read(ctx context.Context, store lrplatform.Store, name string) (stored, error) {
	object, err := store.Get(ctx, lrplatform.KindPaid, name)
	if err != nil {
		return stored{}, err
	}
	record, err := decode(object)
	return stored{object, record}, err
}

// checkOutcome records an invariant violation when the action was resolved as not run although it has an answer.
func (a *action) checkOutcome(record lrpaid.Record) {
	if record.Answer == nil || record.Resolution == nil || record.Resolution.Outcome != lrpaid.ResolvedNotRun {
		return
	}
	a.Log.Error().Str("requestId", a.request.RequestID).Str("who", record.Resolution.Who).
		Msg("paid: an action that was resolved as not run has run")
	a.RecordViolation("paidResolvedTruthfully")
}
