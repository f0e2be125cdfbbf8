// Package lrstate reads, changes and follows the configuration that all instances share.
//
// The configuration is split into shards, which are stored at the platform under their digests and never change. The
// head is the one mutable object: it states the version and the digest of each shard. A change is accepted when the
// head has been replaced by a conditional update. A Publisher makes changes, a Follower holds the version that is
// active on an instance, and a Relay brings new versions to the Follower. A few instances of each zone watch the
// platform; the others receive new versions from their peers.
package lrstate

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

const (
	// maxHeadWrites bounds how often one write of the head is sent while its outcome is unknown.
	maxHeadWrites = 3
	// maxConflictEntries bounds the changes that a conflict error lists.
	maxConflictEntries = 10
)

// A Change is a change of the configuration that an operator makes.
type Change struct {
	Who string
	// What describes the change in a few words for the audit trail.
	What string
	// Shards are the new values of the shards that change.
	Shards map[string]lrconfig.Shard
	// Audit lists the changed items.
	Audit []AuditChange
}

// A Publisher reads and changes the configuration at the platform.
type Publisher struct {
	store lrplatform.Store
}

// NewPublisher returns a Publisher that reads and writes the store.
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

// Apply makes the change to the base. It returns an error of kind lrerror.KindConflict, which lists what has changed,
// when another change has been accepted since the base was read. Shards and audit entry are written before the head, so
// a failure before the head is written changes nothing.
func (p *Publisher) Apply(ctx context.Context, now time.Time, base *lrconfig.Snapshot, change Change) (lrconfig.Head, error) {
	stored, object, err := readHead(ctx, p.store)
	if err != nil {
		return lrconfig.Head{}, notAccepted(err)
	}
	if stored.Version != base.Version() || stored.WriteID != base.Head().WriteID {
		return lrconfig.Head{}, p.conflict(ctx, base.Version(), stored)
	}
	digests, err := p.writeShards(ctx, change.Shards)
	if err != nil {
		return lrconfig.Head{}, notAccepted(err)
	}
	head := stored.WithShards(uuid.NewString(), digests)
	err = p.writeAudit(ctx, now, stored, head, change)
	if err != nil {
		return lrconfig.Head{}, notAccepted(err)
	}
	return p.replaceHead(ctx, object, head)
}

// replaceHead replaces the head. The outcome of a write whose reply was lost is found by its write identifier. A write that
// has not taken effect is repeated, since the first one could still arrive late.
func (p *Publisher) replaceHead(ctx context.Context, object lrplatform.Object, head lrconfig.Head) (lrconfig.Head, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return head, fmt.Errorf("encode head: %w", err)
	}
	inDoubt := false
	for range maxHeadWrites {
		err = p.writeHead(ctx, object.WithValue(value))
		inDoubt = inDoubt || lrplatform.ErrUnknown.Has(err)
		if err == nil {
			return head, nil
		}
		if !inDoubt && !lrplatform.ErrConflict.Has(err) {
			return head, notAccepted(err)
		}
		var resolved bool
		resolved, err = p.resolveOutcome(ctx, head)
		if resolved {
			return head, err
		}
	}
	return head, lrerror.New(lrerror.KindUnavailable, lrerror.Unknown,
		"the platform did not say whether version %d was accepted; look at the audit trail when it is back", head.Version).WithCause(err)
}

func (p *Publisher) writeHead(ctx context.Context, object lrplatform.Object) error {
	if object.Version == 0 {
		_, err := p.store.Create(ctx, lrplatform.KindHead, lrplatform.HeadName, object.Value)
		return err
	}
	_, err := p.store.Update(ctx, object)
	return err
}

// resolveOutcome finds out whether the head was accepted although its write returned an error. It reports false while that
// is unknown: nothing could be read, or no write of this version has taken effect yet.
func (p *Publisher) resolveOutcome(ctx context.Context, head lrconfig.Head) (bool, error) {
	stored, _, err := readHead(ctx, p.store)
	if err != nil || stored.Version < head.Version {
		return false, err
	}
	accepted, err := p.writeIDAt(ctx, stored, head.Version)
	if err != nil {
		return false, err
	}
	if accepted != head.WriteID {
		return true, p.conflict(ctx, head.Version-1, stored)
	}
	return true, nil
}

// writeIDAt returns the identifier of the write that made the version, by following the audit trail back from the stored
// head. The version must not be above the stored one.
func (p *Publisher) writeIDAt(ctx context.Context, stored lrconfig.Head, version uint64) (string, error) {
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
	return p.auditFrom(ctx, head, limit)
}

func (p *Publisher) auditFrom(ctx context.Context, head lrconfig.Head, limit int) ([]AuditEntry, error) {
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

// Conflict returns an error of kind lrerror.KindConflict that lists what was changed since the version.
func (p *Publisher) Conflict(ctx context.Context, version uint64) error {
	stored, _, err := readHead(ctx, p.store)
	if err != nil {
		return err
	}
	return p.conflict(ctx, version, stored)
}

func (p *Publisher) conflict(ctx context.Context, version uint64, stored lrconfig.Head) error {
	var changes strings.Builder
	between := min(maxConflictEntries, int(stored.Version-min(version, stored.Version)))
	entries, _ := p.auditFrom(ctx, stored, between)
	for _, e := range slices.Backward(entries) {
		_, _ = fmt.Fprintf(&changes, "; version %d by %s (%s): %s", e.Version, e.Who, e.What, e.items())
	}
	return lrerror.New(lrerror.KindConflict, lrerror.NotRun,
		"nothing was changed, since the configuration went from version %d to %d meanwhile%s; look at these items and apply the change again",
		version, stored.Version, changes.String())
}

func notAccepted(err error) error {
	return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
		"nothing was changed, since the platform did not take the change; apply it again when the platform is back").WithCause(err)
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

// createOnce writes an object whose name determines its value, so that an existing object counts as written. It repeats a
// write of unknown outcome once.
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
