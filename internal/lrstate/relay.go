package lrstate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrfifo"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

const (
	// offerCapacity is the most peers with a higher version that wait to be read from.
	offerCapacity = 64
	callTimeout   = 2 * time.Second
	// checkInterval is the mean time between two reads of the platform's head by one zone: by all of its members
	// together that do not watch the platform.
	checkInterval = 4 * time.Second
	// memberWaitIntervals is the number of watch intervals for which an instance that knows no other waits for one.
	memberWaitIntervals = 3
	firstRetryDelay     = 50 * time.Millisecond
	maxRetryDelay       = 2 * time.Second
)

// RelayOptions configures which instances watch the platform and how new versions are sent to the others.
type RelayOptions struct {
	// WatchersPerZone is the number of instances of each zone that watch the platform.
	WatchersPerZone int
	// Fanout is the number of peers to which each instance announces a new version.
	Fanout int
	// WatchInterval is the time after which an instance that does not watch checks again whether it should.
	WatchInterval time.Duration
	// PlatformReadDelay is the delay that each rank within a zone adds before an instance reads shards from the platform instead
	// of its peers.
	PlatformReadDelay time.Duration
	// Candidates returns the instances that may be asked to confirm the configuration. It may wait a moment for them.
	Candidates func(ctx context.Context) []lrpeer.Member
	// OnPlatform is called whenever the platform has answered.
	OnPlatform func()
	Log        zerolog.Logger
	Random     *rand.Rand
}

// A Relay brings new versions of the configuration to a Follower: from the platform on a few instances of each zone,
// and from peers on the others.
type Relay struct {
	follower   *Follower
	store      lrplatform.Store
	platform   Source
	peers      Peers
	membership lrpeer.MemberSource
	options    RelayOptions
	// offers holds the addresses of peers that have announced a higher version.
	offers  *lrfifo.Queue[string]
	changed chan struct{}
	ready   chan struct{}
	// era is the latest era that the platform has named, and restored receives a value when it rises.
	era      atomic.Uint64
	restored chan struct{}
	mutex    sync.Mutex
}

// NewRelay returns a Relay that brings new versions to the follower.
func NewRelay(follower *Follower, store lrplatform.Store, peers Peers, membership lrpeer.MemberSource, options RelayOptions) *Relay {
	r := &Relay{
		follower: follower, store: store, platform: NewPlatformSource(store), peers: peers, membership: membership, options: options,
		offers: lrfifo.New[string](offerCapacity), changed: make(chan struct{}, 1), ready: make(chan struct{}),
		restored: make(chan struct{}, 1),
	}
	follower.OnChange(func(*lrconfig.Snapshot) { r.notifyChange() })
	return r
}

func (r *Relay) notifyChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Offer records that the instance at the peer address has the version, so that Pull reads it when it is higher.
func (r *Relay) Offer(address string, version uint64) {
	if version > r.follower.Snapshot().Version() {
		r.offers.Push(address)
	}
}

// Pull reads from the peers that have announced a higher version. The supervisor runs it until the context ends.
func (r *Relay) Pull(ctx context.Context) error {
	for {
		address, err := r.offers.Pop(ctx)
		if err != nil {
			return nil
		}
		r.update(ctx, address)
	}
}

func (r *Relay) update(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.follower.Update(ctx, r.peers.Source(address))
	if err != nil {
		r.options.Log.Warn().Err(err).Str("peer", address).Msg("state: configuration not read from the peer")
	}
}

// Announce sends each new version to a few members. The supervisor runs it until the context ends.
func (r *Relay) Announce(ctx context.Context) error {
	for {
		select {
		case <-r.changed:
			r.announce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Relay) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, self := r.follower.Snapshot().Head(), r.membership.Self()
	r.mutex.Lock()
	targets := lrmember.NewSchedule(r.options.Random).GossipTargets(self, r.membership.Members(), r.options.Fanout)
	r.mutex.Unlock()
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() { _ = r.peers.Announce(ctx, t.PeerAddress, self.PeerAddress, head) })
	}
	group.Wait()
}

// Watch waits for new heads at the platform while this instance is among the watchers of its zone. The supervisor runs
// it until the context ends.
func (r *Relay) Watch(ctx context.Context) error {
	after, retry := uint64(0), firstRetryDelay
	r.awaitMembers(ctx)
	for ctx.Err() == nil {
		if !r.isWatcher() {
			after = 0
			lrsupervise.Sleep(ctx, r.options.WatchInterval)
			continue
		}
		changes, err := r.store.Watch(ctx, lrplatform.KindHead, after)
		if err == nil {
			err = r.acceptChanges(ctx, changes)
		}
		if err != nil {
			r.options.Log.Warn().Err(err).Msg("state: platform not watched, trying again")
			after = 0
			lrsupervise.Sleep(ctx, r.jitter(retry))
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		after, retry = nextWatch(after, changes), firstRetryDelay
		r.options.OnPlatform()
	}
	return nil
}

// nextWatch returns the revision after which the next watch begins. After one without changes the head is read again: a platform that has
// come back from an older copy gives out its revisions again, so that the watch may begin after a change that was not seen.
func nextWatch(after uint64, changes lrplatform.Changes) uint64 {
	if after > 0 && len(changes.Objects) == 0 {
		return 0
	}
	return changes.Revision
}

// awaitMembers waits until the configuration has been read and then, for a bounded time, until another member is known.
// Without it every instance would watch the platform when all of them start together.
func (r *Relay) awaitMembers(ctx context.Context) {
	select {
	case <-r.ready:
	case <-ctx.Done():
	}
	for range memberWaitIntervals {
		if ctx.Err() != nil || len(r.membership.Members()) > 1 {
			return
		}
		lrsupervise.Sleep(ctx, r.options.WatchInterval)
	}
}

func (r *Relay) isWatcher() bool {
	return lrmember.WatchRank(r.membership.Members(), r.membership.Self()) < r.options.WatchersPerZone
}

func (r *Relay) acceptChanges(ctx context.Context, changes lrplatform.Changes) error {
	for _, o := range changes.Objects {
		if o.Version == 0 || o.Name != lrplatform.HeadName {
			continue
		}
		var head lrconfig.Head
		err := json.Unmarshal(o.Value, &head)
		if err != nil {
			return fmt.Errorf("decode head: %w", err)
		}
		err = r.follower.Accept(ctx, head, r.platform.Shards)
		if err != nil {
			return err
		}
		if head.Version < r.follower.Snapshot().Version() {
			r.restoreHead(ctx)
		}
	}
	return nil
}

// Check reads the platform's head periodically on the instances that do not watch it, so that a zone whose watchers are
// partitioned from the platform receives changes too. The supervisor runs it until the context ends.
func (r *Relay) Check(ctx context.Context) error {
	for ctx.Err() == nil {
		lrsupervise.Sleep(ctx, r.jitter(checkInterval*time.Duration(r.zoneMembers())))
		if ctx.Err() != nil || r.isWatcher() {
			continue
		}
		err := r.follower.Update(ctx, r.platform)
		if err == nil {
			r.options.OnPlatform()
		}
	}
	return nil
}

func (r *Relay) zoneMembers() int {
	count := 0
	for _, m := range r.membership.Members() {
		if m.Zone == r.membership.Self().Zone {
			count++
		}
	}
	return max(1, count)
}

// jitter returns a random time between half and one and a half times the delay.
func (r *Relay) jitter(delay time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return delay/2 + time.Duration(r.options.Random.Int64N(int64(delay)))
}
