package lrledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

// auditPrefix is the prefix of the names of the audit entries of resolved actions.
const auditPrefix = "paid-"

// A RecordStore lists the records of paid actions for operators and resolves actions in doubt. An action is in doubt when it may
// have been sent, no answer is recorded and its deadline has passed.
type RecordStore struct {
	store lrplatform.Store
}

// NewRecordStore returns a Book of the records in the store.
func NewRecordStore(store lrplatform.Store) *RecordStore {
	return &RecordStore{store: store}
}

// Records returns the records of the client account, or all records when the account is empty.
func (s *RecordStore) Records(ctx context.Context, account string) ([]lrpaid.Record, error) {
	prefix := ""
	if account != "" {
		prefix = lrpaid.RecordNamePrefix(account)
	}
	objects, err := s.store.List(ctx, lrplatform.KindPaid, prefix)
	if err != nil {
		return nil, fmt.Errorf("read the records of paid actions from the platform: %w", err)
	}
	records := make([]lrpaid.Record, 0, len(objects))
	for _, o := range objects {
		record, err := decode(o)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Resolve records the resolution of an action in doubt. It writes an audit entry first.
func (s *RecordStore) Resolve(ctx context.Context, now time.Time, account, idempotencyKey string, resolution lrpaid.Resolution) (lrpaid.Record, error) {
	start, err := read(ctx, s.store, lrpaid.RecordName(account, idempotencyKey))
	if err != nil {
		return lrpaid.Record{}, fmt.Errorf("read the record: %w", err)
	}
	if start.record.State != lrpaid.StateDispatched {
		return start.record, fmt.Errorf("the action is %s, not in doubt; nothing was changed", start.record.State)
	}
	if !lrpaid.Resolvable(now, start.record) {
		return start.record, fmt.Errorf("the action may still be in progress until %s; resolve it after that", start.record.Deadline.Format(time.RFC3339))
	}
	err = s.writeAudit(ctx, now, start, resolution)
	if err != nil {
		return start.record, fmt.Errorf("write the audit entry: %w", err)
	}
	after, err := update(ctx, s.store, start, lrpaid.Resolve(start.record, resolution))
	if err != nil {
		return after.record, fmt.Errorf("the platform has not confirmed the resolution; check paid list and resolve the action again: %w", err)
	}
	settled := after.record.Resolution
	if settled == nil || settled.Who != resolution.Who || settled.Outcome != resolution.Outcome {
		return after.record, fmt.Errorf("the action became %s meanwhile; nothing was changed", after.record.State)
	}
	return after.record, nil
}

func (s *RecordStore) writeAudit(ctx context.Context, now time.Time, start stored, resolution lrpaid.Resolution) error {
	id := uuid.NewString()
	entry := lrstate.AuditEntry{
		Version: start.object.Version, WriteID: id, Who: resolution.Who, When: now.UTC(), What: "resolve paid action: " + resolution.Reason,
		Changes: []lrstate.AuditChange{{
			Item:   "paid action " + start.record.IdempotencyKey + " of client account " + start.record.Account,
			Before: string(start.record.State), After: string(resolution.Outcome),
		}},
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode audit entry: %w", err)
	}
	_, err = s.store.Create(ctx, lrplatform.KindAudit, auditPrefix+start.object.Name+"-"+id, value)
	return err
}

// Audit returns the audit entries of resolved actions. When the record of the action has no resolution, the attempt to
// resolve it failed after the audit entry was written.
func (s *RecordStore) Audit(ctx context.Context) ([]lrstate.AuditEntry, error) {
	objects, err := s.store.List(ctx, lrplatform.KindAudit, auditPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the audit entries from the platform: %w", err)
	}
	entries := make([]lrstate.AuditEntry, 0, len(objects))
	for _, o := range objects {
		var entry lrstate.AuditEntry
		err = json.Unmarshal(o.Value, &entry)
		if err != nil {
			return nil, fmt.Errorf("decode audit entry %s: %w", o.Name, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
