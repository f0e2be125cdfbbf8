package lrstate

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// restoredBy is the author in audit entries of versions that the platform had lost.
const restoredBy = "restored after the platform lost it"

// RecordEra applies the era that an answer of the platform names. A later one than before means that the platform has come back from an older
// copy, so that the head is compared again.
func (r *Relay) RecordEra(era uint64) {
	before := r.era.Load()
	if era <= before || !r.era.CompareAndSwap(before, era) || before == 0 {
		return
	}
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// Restore writes the head to the platform again when that has come back from an older copy, on the instances that watch it. The supervisor runs
// it until the context ends.
func (r *Relay) Restore(ctx context.Context) error {
	for {
		select {
		case <-r.restored:
		case <-ctx.Done():
			return nil
		}
		if r.isWatcher() {
			r.restoreHead(ctx)
		}
	}
}

// restoreHead writes the active head to the platform again if the platform has an earlier one of the same history. A head that it does not
// follow from was written since by an operator who did not know the lost versions, and stays.
func (r *Relay) restoreHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shardFetchTimeout)
	defer cancel()
	stored, object, err := readHead(ctx, r.store)
	if err != nil {
		r.options.Log.Warn().Err(err).Msg("state: head of the platform not compared with the one in force")
		return
	}
	inForce := r.follower.Snapshot().Version()
	if stored.Version >= inForce {
		return
	}
	versions, values := r.follower.versionsAfter(stored)
	if len(versions) == 0 {
		r.options.Log.Error().Uint64("version", stored.Version).Uint64("inForce", inForce).
			Msg("state: the platform has lost versions that are in force, and holds another change; apply the right list again")
		return
	}
	err = r.writeLost(ctx, object, stored, versions, values)
	if err != nil {
		r.options.Log.Warn().Err(err).Uint64("version", inForce).Msg("state: lost configuration not written again")
		return
	}
	r.options.Log.Warn().Uint64("before", stored.Version).Uint64("version", inForce).Msg("state: lost configuration written again")
}

// writeLost writes the versions after the stored head, of which the last one is in force, with the given values of its shards. The head comes
// last and only if it has not changed meanwhile.
func (r *Relay) writeLost(ctx context.Context, object lrplatform.Object, stored lrconfig.Head, versions []lrconfig.Head, values map[string][]byte) error {
	publisher := NewPublisher(r.store)
	lost := versions[len(versions)-1]
	for _, digest := range missingShards(stored, lost) {
		err := publisher.createOnce(ctx, lrplatform.KindShard, digest, values[digest])
		if err != nil {
			return err
		}
	}
	before := stored
	for _, v := range versions {
		err := publisher.writeAudit(ctx, time.Now(), before, v, Change{Who: restoredBy, What: "unknown"})
		if err != nil {
			return err
		}
		before = v
	}
	_, err := publisher.replaceHead(ctx, object, lost)
	return err
}

// versionsAfter returns the heads that were active since the given one, the active one last, and the stored values of its shards by digest. It
// returns none if the given head never was active.
func (f *Follower) versionsAfter(head lrconfig.Head) ([]lrconfig.Head, map[string][]byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := slices.IndexFunc(f.heads, func(h lrconfig.Head) bool { return h.Version == head.Version && h.WriteID == head.WriteID })
	if n < 0 {
		return nil, nil
	}
	return append(slices.Clone(f.heads[n+1:]), f.Snapshot().Head()), maps.Clone(f.values)
}
