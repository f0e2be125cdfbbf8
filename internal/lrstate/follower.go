package lrstate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// headHistory is the number of earlier heads that are kept, so that a peer can be sent the difference alone.
const headHistory = 16

// ViolationFork names the invariant that one version is made by one write.
const ViolationFork = "configurationFork"

// A Follower holds the highest version of the configuration that the instance has seen. The version never falls.
type Follower struct {
	log       zerolog.Logger
	violate   func(invariant string)
	listeners []func(*lrconfig.Snapshot)
	current   atomic.Pointer[lrconfig.Snapshot]
	rejection atomic.Pointer[Rejection]

	// turn makes one version after the other come into force.
	turn   sync.Mutex
	mutex  sync.Mutex
	values map[string][]byte
	heads  []lrconfig.Head
}

// A Rejection is a version that was not taken into force since its content is invalid.
type Rejection struct {
	Version uint64 `json:"version"`
	WriteID string `json:"writeId"`
	Reason  string `json:"reason"`
}

// NewFollower returns a Follower that has seen nothing yet. It calls violate when an invariant is violated.
func NewFollower(log zerolog.Logger, violate func(invariant string)) *Follower {
	f := &Follower{log: log, violate: violate, values: map[string][]byte{}}
	f.current.Store(lrconfig.NewSnapshot(lrconfig.Head{}, nil))
	return f
}

// Snapshot returns the configuration in force on this instance.
func (f *Follower) Snapshot() *lrconfig.Snapshot { return f.current.Load() }

// Rejection returns the last version that was refused as invalid, or nil when a valid one has followed.
func (f *Follower) Rejection() *Rejection { return f.rejection.Load() }

// OnChange makes the follower call the listener with each new version. It must be called before the follower is used.
func (f *Follower) OnChange(listener func(*lrconfig.Snapshot)) {
	f.listeners = append(f.listeners, listener)
}

// HeadAbove returns the head in force and the version to whose shards it is a difference. The head has version zero
// when the one in force is not above the version.
func (f *Follower) HeadAbove(above uint64) (lrconfig.Head, uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	head := f.Snapshot().Head()
	if head.Version <= above {
		return lrconfig.Head{}, 0
	}
	for _, h := range f.heads {
		if h.Version == above {
			return lrconfig.Head{Version: head.Version, WriteID: head.WriteID, Shards: missingShards(h, head)}, above
		}
	}
	return head, 0
}

// Values returns the stored values of those shards in force that have the digests.
func (f *Follower) Values(digests []string) map[string][]byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	values := make(map[string][]byte, len(digests))
	for _, d := range digests {
		value, ok := f.values[d]
		if ok {
			values[d] = value
		}
	}
	return values
}

// Update takes the configuration of the source into force when its version is above the present one.
func (f *Follower) Update(ctx context.Context, source Source) error {
	base := f.Snapshot().Head()
	head, err := source.Head(ctx, base)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	return f.Accept(ctx, head, source.Shards)
}

// Accept takes the head into force when its version is above the present one, with shards from the fetcher. A head
// whose content is invalid is refused, and the last valid one stays in force.
func (f *Follower) Accept(ctx context.Context, head lrconfig.Head, fetch ShardFetcher) error {
	for {
		base := f.Snapshot()
		if !f.wants(base.Head(), head) {
			return nil
		}
		snapshot, values, err := FetchSnapshot(ctx, base, head, fetch)
		if err != nil {
			return err
		}
		err = errors.Join(lrconfig.Validate(snapshot)...)
		if err != nil {
			f.reject(head, err)
			return nil
		}
		if f.swap(base, snapshot, values) {
			return nil
		}
	}
}

// wants reports whether the head is above the base and has not been refused before.
func (f *Follower) wants(base, head lrconfig.Head) bool {
	if head.Version == base.Version && head.WriteID != base.WriteID && head.Version > 0 {
		f.violate(ViolationFork)
		f.log.Error().Uint64("version", head.Version).Str("ours", base.WriteID).Str("theirs", head.WriteID).
			Msg("state: two configurations have the same version; compare them with the audit trail and apply the right list again")
	}
	rejected := f.Rejection()
	refused := rejected != nil && rejected.Version == head.Version && rejected.WriteID == head.WriteID
	return head.Version > base.Version && !refused
}

func (f *Follower) reject(head lrconfig.Head, reason error) {
	f.rejection.Store(&Rejection{Version: head.Version, WriteID: head.WriteID, Reason: reason.Error()})
	f.log.Error().Err(reason).Uint64("version", head.Version).Uint64("inForce", f.Snapshot().Version()).
		Msg("state: configuration is invalid, the last valid one stays in force; apply a corrected list")
}

// swap takes the snapshot into force unless another one has come into force since the base was read.
func (f *Follower) swap(base, snapshot *lrconfig.Snapshot, values map[string][]byte) bool {
	f.turn.Lock()
	defer f.turn.Unlock()
	if f.current.Load() != base {
		return false
	}
	f.keep(base.Head(), snapshot, values)
	f.rejection.Store(nil)
	f.log.Info().Uint64("version", snapshot.Version()).Msg("state: configuration in force")
	for _, l := range f.listeners {
		l(snapshot)
	}
	return true
}

func (f *Follower) keep(before lrconfig.Head, snapshot *lrconfig.Snapshot, values map[string][]byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	shards := snapshot.Head().Shards
	kept := make(map[string][]byte, len(shards))
	for _, digest := range shards {
		value, ok := values[digest]
		if !ok {
			value = f.values[digest]
		}
		kept[digest] = value
	}
	f.values = kept
	f.heads = append(f.heads, before)
	f.heads = f.heads[max(0, len(f.heads)-headHistory):]
	f.current.Store(snapshot)
}
