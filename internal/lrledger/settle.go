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

// sight is what the attempt last knew of the record.
type sight struct {
	stored
	known  bool
	exists bool
	seenAt time.Time
}

func (s sight) view(now time.Time, beganAt time.Time) lrpaid.View {
	return lrpaid.View{
		Exists: s.exists, Record: s.record, UnchangedFor: now.Sub(s.seenAt), WaitedFor: now.Sub(beganAt),
	}
}

// settle writes the record until the attempt may send, or must answer without sending. StepWait means that it ran out
// of time.
func (a *action) settle(ctx context.Context) (stored, lrpaid.Step) {
	seen := sight{known: true, seenAt: a.beganAt}
	backoff := a.options.Backoff
	for a.mayGoOn(seen) {
		if !seen.known {
			seen = a.look(ctx, seen)
			if !seen.known {
				lrsupervise.Sleep(ctx, backoff)
				backoff = min(2*backoff, a.options.MaxBackoff)
			}
			continue
		}
		step := lrpaid.Decide(a.Clock(), a.attempt, seen.view(a.Clock(), a.beganAt), a.policy)
		switch step {
		case lrpaid.StepCreate, lrpaid.StepTakeOver, lrpaid.StepDispatch:
			seen = a.write(ctx, seen, step)
		case lrpaid.StepWait:
			lrsupervise.Sleep(ctx, a.options.PollInterval)
			seen = a.look(ctx, seen)
		case lrpaid.StepQuery:
			return a.query(ctx, seen)
		default:
			return seen.stored, step
		}
	}
	return seen.stored, lrpaid.StepWait
}

// mayGoOn reports whether the attempt has time left and its caller is there.
func (a *action) mayGoOn(seen sight) bool {
	if a.stage.Load() == stageAbandoned {
		return false
	}
	if seen.known && seen.exists && seen.record.State == lrpaid.StateDispatched {
		return true
	}
	return a.Clock().Sub(a.beganAt) < a.policy.CommitTimeout
}

// look reads the record.
func (a *action) look(ctx context.Context, before sight) sight {
	object, err := a.Store.Get(ctx, lrplatform.KindPaid, a.name)
	if lrplatform.ErrNotFound.Has(err) {
		return sight{known: true, seenAt: a.Clock()}
	}
	if err != nil {
		return sight{}
	}
	record, err := decode(object)
	if err != nil {
		return sight{}
	}
	a.heldByAnother = record.Nonce != a.attempt.Nonce && record.State != lrpaid.StateReleased
	seenAt := a.Clock()
	if before.exists && before.object.Version == object.Version {
		seenAt = before.seenAt
	}
	return sight{stored: stored{object, record}, known: true, exists: true, seenAt: seenAt}
}

// write makes one conditional write. When it did not answer with success, the record has to be read again.
func (a *action) write(ctx context.Context, seen sight, step lrpaid.Step) sight {
	now := a.Clock()
	var record lrpaid.Record
	switch step {
	case lrpaid.StepCreate:
		record = lrpaid.NewRecord(now, a.attempt)
	case lrpaid.StepTakeOver:
		record = seen.record.WithClaim(now, a.attempt)
	default:
		if a.dispatchBegan.IsZero() {
			a.dispatchBegan, a.servers = now, a.candidates()
		}
		record = seen.record.WithDispatch(now, a.policy, a.servers)
	}
	a.mayLand = true
	object, err := a.put(ctx, seen, record)
	if err != nil {
		a.Log.Debug().Err(err).Str("requestId", a.request.RequestID).Str("step", string(step)).Msg("paid: write not confirmed")
		return sight{}
	}
	a.heldByAnother = false
	return sight{stored: stored{object, record}, known: true, exists: true, seenAt: now}
}

func (a *action) put(ctx context.Context, seen sight, record lrpaid.Record) (lrplatform.Object, error) {
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
