package lrledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// observation is what the attempt last knew of the record. It is known when the last read or write of the record succeeded.
type observation struct {
	stored
	known          bool
	exists         bool
	unchangedSince time.Time
}

// view returns what the attempt knows of the record now.
func (a *action) view(seen observation) lrpaid.View {
	now := a.Clock()
	return lrpaid.View{
		Exists: seen.exists, Record: seen.record, UnchangedFor: now.Sub(seen.unchangedSince), WaitedFor: now.Sub(a.startedAt), IsHeld: a.isHeld(now),
	}
}

// advance reads and writes the record until the attempt may send or must answer without sending, and returns that step. It
// returns StepWait when the time to commit is over or the caller has gone.
func (a *action) advance(ctx context.Context) (stored, lrpaid.Step) {
	seen := observation{known: true, unchangedSince: a.startedAt}
	backoff := a.options.Backoff
	for a.mayContinue(seen) {
		if !seen.known {
			seen = a.readRecord(ctx, seen)
			if !seen.known {
				lrsupervise.Sleep(ctx, backoff)
				backoff = min(2*backoff, a.options.MaxBackoff)
			}
			continue
		}
		step := lrpaid.Decide(a.Clock(), a.attempt, a.view(seen), a.policy)
		switch step {
		case lrpaid.StepCreate, lrpaid.StepTakeOver, lrpaid.StepDispatch:
			seen = a.write(ctx, seen, step)
		case lrpaid.StepWait:
			lrsupervise.Sleep(ctx, a.options.PollInterval)
			seen = a.readRecord(ctx, seen)
		case lrpaid.StepQuery:
			return a.queryOutcome(ctx, seen)
		default:
			return seen.stored, step
		}
	}
	return seen.stored, lrpaid.StepWait
}

// mayContinue reports whether the attempt has time left and its caller still waits. The time to commit does not apply while
// the record is dispatched, since lrpaid.Decide bounds that wait by the policy's WaitLimit.
func (a *action) mayContinue(seen observation) bool {
	if a.stage.Load() == stageAbandoned {
		return false
	}
	if seen.known && seen.exists && seen.record.State == lrpaid.StateDispatched {
		return true
	}
	return a.Clock().Sub(a.startedAt) < a.policy.CommitTimeout
}

// readRecord reads the record. The result is not known when the read fails.
func (a *action) readRecord(ctx context.Context, before observation) observation {
	object, err := a.Store.Get(ctx, lrplatform.KindPaid, a.name)
	a.RecordEra(a.Clock(), object.Era)
	if lrplatform.ErrNotFound.Has(err) {
		return observation{known: true, unchangedSince: a.Clock()}
	}
	if err != nil {
		return observation{}
	}
	record, err := decode(object)
	if err != nil {
		return observation{}
	}
	a.heldByAnother = record.Nonce != a.attempt.Nonce && record.State != lrpaid.StateReleased
	unchangedSince := a.Clock()
	if before.exists && before.object.Version == object.Version {
		unchangedSince = before.unchangedSince
	}
	return observation{stored: stored{object, record}, known: true, exists: true, unchangedSince: unchangedSince}
}

// write makes the conditional write of the step. When it is not confirmed, the result is not known and the record has to be
// read again.
func (a *action) write(ctx context.Context, seen observation, step lrpaid.Step) observation {
	now := a.Clock()
	var record lrpaid.Record
	switch step {
	case lrpaid.StepCreate:
		record = lrpaid.NewRecord(now, a.attempt)
	case lrpaid.StepTakeOver:
		record = seen.record.WithClaim(now, a.attempt)
	default:
		if a.dispatchStartedAt.IsZero() {
			a.dispatchStartedAt, a.servers = now, a.candidates()
		}
		record = seen.record.WithDispatch(now, a.policy, a.servers)
	}
	a.mayHaveWritten = true
	object, err := a.put(ctx, seen, record)
	a.RecordEra(a.Clock(), object.Era)
	if err != nil {
		a.Log.Debug().Err(err).Str("requestId", a.request.RequestID).Str("step", string(step)).Msg("paid: write not confirmed")
		return observation{}
	}
	a.heldByAnother = false
	return observation{stored: stored{object, record}, known: true, exists: true, unchangedSince: now}
}

func (a *action) put(ctx context.Context, seen observation, record lrpaid.Record) (lrplatform.Object, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return lrplatform.Object{}, fmt.Errorf("encode record: %w", err)
	}
	if !seen.exists {
		return a.Store.Create(ctx, lrplatform.KindPaid, a.name, value)
	}
	return a.Store.Update(ctx, seen.object.WithValue(value))
}

func decode(object lrplatform.Object) (lrpaid.Record, error) {
	var record lrpaid.Record
	err := json.Unmarshal(object.Value, &record)
	if err != nil {
		return record, fmt.Errorf("decode record %s: %w", object.Name, err)
	}
	return record, nil
}
