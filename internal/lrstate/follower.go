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

// headHistory is the number of earlier heads that are kept, so that a peer can be sent only the shards that changed.
const headHistory = 16

// ViolationFork names the invariant that each version is written by exactly one write.
const ViolationFork = "configurationFork"

// A Follower holds the active configuration of the instance: the highest valid version that it has received. The
// version never decreases.
type Follower struct {
	log         zerolog.Logger
	onViolation func(invariant string)
	listeners   []func(*lrconfig.Snapshot)
	current     atomic.Pointer[lrconfig.Snapshot]
	rejection   atomic.Pointer[Rejection]

	// swapMutex serializes changes of the active version, so that listeners are called for one version at a time.
	swapMutex sync.Mutex
	mutex     sync.Mutex
	// values holds the stored values of the active shards by digest.
	values map[string][]byte
	// heads holds the heads that were active before, the oldest first.
	heads []lrconfig.Head
}

// A Rejection is a version that was not activated because its content is invalid.
type Rejection struct {
	Version uint64 `json:"version"`
	WriteID string `json:"writeId"`
	Reason  string `json:"reason"`
}

// NewFollower returns a Follower with an empty configuration of version zero. It calls onViolation with the name of an
// invariant that is violated.
func NewFollower(log zerolog.Logger, onViolation func(invariant string)) *Follower {
	f := &Follower{log: log, onViolation: onViolation, values: map[string][]byte{}}
	f.current.Store(lrconfig.NewSnapshot(lrconfig.Head{}, nil))
	return f
}

// Snapshot returns the active configuration of this instance.
func (f *Follower) Snapshot() *lrconfig.Snapshot { return f.current.Load() }

// Rejection returns the last version that was rejected as invalid, or nil when a valid one has been activated since.
func (f *Follower) Rejection() *Rejection { return f.rejection.Load() }

// OnChange registers a listener that is called with each new version. It must be called before the follower is used.
func (f *Follower) OnChange(listener func(*lrconfig.Snapshot)) {
	f.listeners = append(f.listeners, listener)
}

// HeadAbove returns the active head and a base version. The head has version zero when the active one is not above the
// given version. When the base version is not zero, the head lists only the shards that differ from that version.
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

// ShardValues returns the stored values of the active shards that have the digests.
func (f *Follower) ShardValues(digests []string) map[string][]byte {
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

// Update activates the configuration of the source when its version is above the active one.
func (f *Follower) Update(ctx context.Context, source Source) error {
	base := f.Snapshot().Head()
	head, err := source.Head(ctx, base)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	return f.Accept(ctx, head, source.Shards)
}

// Accept activates the head when its version is above the active one, with shards from the fetcher. A head whose
// content is invalid is rejected, and the last valid one stays active. That is not an error of Accept.
func (f *Follower) Accept(ctx context.Context, head lrconfig.Head, fetch ShardFetcher) error {
	for {
		base := f.Snapshot()
		if !f.shouldAccept(base.Head(), head) {
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
		if f.compareAndSwap(base, snapshot, values) {
			return nil
		}
	}
}

// shouldAccept reports whether the head is above the base and has not been rejected before. It reports a violation when both
// have the same version but come from different writes.
func (f *Follower) shouldAccept(base, head lrconfig.Head) bool {
	if head.Version == base.Version && head.WriteID != base.WriteID && head.Version > 0 {
		f.onViolation(ViolationFork)
		f.log.Error().Uint64("version", head.Version).Str("ours", base.WriteID).Str("theirs", head.WriteID).
			Msg("state: two configurations have the same version; compare them with the audit trail and apply the right list again")
	}
	rejected := f.Rejection()
	isRejected := rejected != nil && rejected.Version == head.Version && rejected.WriteID == head.WriteID
	return head.Version > base.Version && !isRejected
}

func (f *Follower) reject(head lrconfig.Head, reason error) {
	f.rejection.Store(&Rejection{Version: head.Version, WriteID: head.WriteID, Reason: reason.Error()})
	f.log.Error().Err(reason).Uint64("version", head.Version).Uint64("inForce", f.Snapshot().Version()).
		Msg("state: configuration is invalid, the last valid one stays in force; apply a corrected list")
}

// compareAndSwap activates the snapshot unless another one has been activated since the base was read.
func (f *Follower) compareAndSwap(base, snapshot *lrconfig.Snapshot, values map[string][]byte) bool {
	f.swapMutex.Lock()
	defer f.swapMutex.Unlock()
	if f.current.Load() != base {
		return false
	}
	f.storeSnapshot(base.Head(), snapshot, values)
	f.rejection.Store(nil)
	f.log.Info().Uint64("version", snapshot.Version()).Msg("state: configuration in force")
	for _, l := range f.listeners {
		l(snapshot)
	}
	return true
}

func (f *Follower) storeSnapshot(before lrconfig.Head, snapshot *lrconfig.Snapshot, values map[string][]byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	shards := snapshot.Head().Shards
	activeValues := make(map[string][]byte, len(shards))
	for _, digest := range shards {
		value, ok := values[digest]
		if !ok {
			value = f.values[digest]
		}
		activeValues[digest] = value
	}
	f.values = activeValues
	f.heads = append(f.heads, before)
	f.heads = f.heads[max(0, len(f.heads)-headHistory):]
	f.current.Store(snapshot)
}
