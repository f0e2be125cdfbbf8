// Package lrstate reads, changes and follows the configuration that all instances share.
//
// Shards are stored under their digests and never change. A change becomes accepted when the head that names its
// shards has been replaced by a conditional update.
package lrstate

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// A Change is a difference to the configuration that an operator wants.
type Change struct {
	Who string
	// What says in a few words what the change does.
	What string
	// Shards are the new values of the shards that change.
	Shards map[string]lrconfig.Shard
	// Audit lists the changed items.
	Audit []AuditChange
}

// A Publisher reads and changes the configuration in the platform.
type Publisher struct {
	store lrplatform.Store
}

// NewPublisher returns a Publisher that works on the store.
func NewPublisher(store lrplatform.Store) *Publisher {
	return &Publisher{store: store}
}

// Read returns the accepted configuration. Before the first change it is empty, with version zero.
func (p *Publisher) Read(ctx context.Context) (*lrconfig.Snapshot, error) {
	head, _, err := readHead(ctx, p.store)
	if err != nil {
		return nil, err
	}
	snapshot, _, err := FetchSnapshot(ctx, lrconfig.NewSnapshot(lrconfig.Head{}, nil), head, NewPlatformSource(p.store).Shards)
	return snapshot, err
}

// Apply makes the change to the base. It returns an error of kind lrerror.KindConflict when another change has been
// accepted since the base was read.
func (p *Publisher) Apply(ctx context.Context, now time.Time, base *lrconfig.Snapshot, change Change) (lrconfig.Head, error) {
	stored, object, err := readHead(ctx, p.store)
	if err != nil {
		return lrconfig.Head{}, err
	}
	if stored.Version != base.Version() {
		return lrconfig.Head{}, conflict(base.Version(), stored.Version)
	}
	digests, err := p.writeShards(ctx, change.Shards)
	if err != nil {
		return lrconfig.Head{}, err
	}
	head := stored.WithShards(uuid.NewString(), digests)
	err = p.writeAudit(ctx, now, stored, head, change)
	if err != nil {
		return lrconfig.Head{}, err
	}
	return p.moveHead(ctx, object, head)
}

func (p *Publisher) moveHead(ctx context.Context, object lrplatform.Object, head lrconfig.Head) (lrconfig.Head, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return head, fmt.Errorf("encode head: %w", err)
	}
	if object.Version == 0 {
		_, err = p.store.Create(ctx, lrplatform.KindHead, lrplatform.HeadName, value)
	} else {
		_, err = p.store.Update(ctx, object.WithValue(value))
	}
	if err == nil {
		return head, nil
	}
	if !lrplatform.ErrUnknown.Has(err) && !lrplatform.ErrConflict.Has(err) {
		return head, err
	}
	return p.settle(ctx, head)
}

// settle finds out whether the head was accepted although its write did not answer so.
func (p *Publisher) settle(ctx context.Context, head lrconfig.Head) (lrconfig.Head, error) {
	stored, _, err := readHead(ctx, p.store)
	if err != nil {
		return head, lrerror.New(lrerror.KindUnavailable, lrerror.Unknown,
			"the platform did not say whether version %d was accepted; look at the audit trail when it is back", head.Version).WithCause(err)
	}
	accepted, err := p.writeIDAt(ctx, stored, head.Version)
	if err != nil {
		return head, err
	}
	if accepted != head.WriteID {
		return head, conflict(head.Version-1, stored.Version)
	}
	return head, nil
}

func (p *Publisher) writeIDAt(ctx context.Context, stored lrconfig.Head, version uint64) (string, error) {
	if stored.Version < version {
		return "", nil
	}
	current, writeID := stored.Version, stored.WriteID
	for current > version {
		entry, err := p.auditEntry(ctx, current, writeID)
		if err != nil {
			return "", err
		}
		current, writeID = current-1, entry.PreviousWriteID
	}
	return writeID, nil
}

// Audit returns the accepted changes, the latest first, at most limit of them.
func (p *Publisher) Audit(ctx context.Context, limit int) ([]AuditEntry, error) {
	head, _, err := readHead(ctx, p.store)
	if err != nil {
		return nil, err
	}
	var entries []AuditEntry
	version, writeID := head.Version, head.WriteID
	for version > 0 && len(entries) < limit {
		entry, err := p.auditEntry(ctx, version, writeID)
		if err != nil {
			return entries, err
		}
		entries = append(entries, entry)
		version, writeID = version-1, entry.PreviousWriteID
	}
	return entries, nil
}

func (p *Publisher) auditEntry(ctx context.Context, version uint64, writeID string) (AuditEntry, error) {
	var entry AuditEntry
	object, err := p.store.Get(ctx, lrplatform.KindAudit, auditName(version, writeID))
	if err != nil {
		return entry, err
	}
	err = json.Unmarshal(object.Value, &entry)
	return entry, err
}

func (p *Publisher) writeShards(ctx context.Context, shards map[string]lrconfig.Shard) (map[string]string, error) {
	digests := make(map[string]string, len(shards))
	for name, s := range shards {
		data, digest, err := s.Encode()
		if err != nil {
			return nil, err
		}
		digests[name] = digest
		err = p.createOnce(ctx, lrplatform.KindShard, digest, data)
		if err != nil {
			return nil, fmt.Errorf("write shard %s: %w", name, err)
		}
	}
	return digests, nil
}

func (p *Publisher) writeAudit(ctx context.Context, now time.Time, before, after lrconfig.Head, change Change) error {
	entry := AuditEntry{
		Version: after.Version, WriteID: after.WriteID, PreviousWriteID: before.WriteID,
		Who: change.Who, When: now.UTC(), What: change.What, Changes: change.Audit,
	}
	data, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode audit entry: %w", err)
	}
	return p.createOnce(ctx, lrplatform.KindAudit, auditName(after.Version, after.WriteID), data)
}

// createOnce writes an object whose name determines its value, so that an existing one is as good as a written one.
func (p *Publisher) createOnce(ctx context.Context, kind, name string, value []byte) error {
	_, err := p.store.Create(ctx, kind, name, value)
	if lrplatform.ErrUnknown.Has(err) {
		_, err = p.store.Create(ctx, kind, name, value)
	}
	if lrplatform.ErrConflict.Has(err) {
		return nil
	}
	return err
}

func conflict(read, stored uint64) error {
	return lrerror.New(lrerror.KindConflict, lrerror.NotRun,
		"the configuration went from version %d to %d meanwhile; look at the audit trail and apply the change again", read, stored)
}
