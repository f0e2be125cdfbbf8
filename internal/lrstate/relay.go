package lrstate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrring"
)

const (
	// offerRoom is the number of peers with a higher version that may wait to be read from.
	offerRoom   = 64
	callTimeout = 2 * time.Second
	// checkInterval is the mean time between two readings of the platform's head by the members of one zone that do
	// not watch it, all of them together.
	checkInterval = 4 * time.Second
	// rosterWaits is the number of watch intervals for which an instance that knows of no other waits for one.
	rosterWaits     = 3
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// RelayOptions say who watches the platform and how news travels.
type RelayOptions struct {
	WatchersPerZone int
	Fanout          int
	// WatchInterval is the time after which an instance that does not watch asks again whether it should.
	WatchInterval time.Duration
	// TurnDelay is the time by which each next member of a zone waits longer for its peers before it reads shards from
	// the platform.
	TurnDelay time.Duration
	// Candidates returns the instances that may be asked at the start. It may wait a moment for them.
	Candidates func(ctx context.Context) []lrpeer.Member
	// OnPlatform is called when the platform has answered.
	OnPlatform func()
	Log        zerolog.Logger
	Random     *rand.Rand
}

// A Relay brings new versions of the configuration to a Follower: from the platform on a few instances of each zone,
// from peers on the others.
type Relay struct {
	follower *Follower
	store    lrplatform.Store
	platform Source
	peers    Peers
	roster   lrpeer.Roster
	options  RelayOptions
	offers   *lrring.Ring[string]
	changed  chan struct{}
	ready    chan struct{}
	mutex    sync.Mutex
}

// NewRelay returns a Relay that feeds the follower.
func NewRelay(follower *Follower, store lrplatform.Store, peers Peers, roster lrpeer.Roster, options RelayOptions) *Relay {
	r := &Relay{
		follower: follower, store: store, platform: NewPlatformSource(store), peers: peers, roster: roster, options: options,
		offers: lrring.New[string](offerRoom), changed: make(chan struct{}, 1), ready: make(chan struct{}),
	}
	follower.OnChange(func(*lrconfig.Snapshot) { r.wake() })
	return r
}

func (r *Relay) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Offer notes that the instance at the peer address has the version.
func (r *Relay) Offer(address string, version uint64) {
	if version > r.follower.Snapshot().Version() {
		r.offers.Push(address)
	}
}

// Pull reads from the peers that have offered a higher version. It is a duty of the supervisor.
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

// Announce tells a few members of each new version. It is a duty of the supervisor.
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
	head, self := r.follower.Snapshot().Head(), r.roster.Self()
	r.mutex.Lock()
	targets := lrmember.NewSchedule(r.options.Random).Spread(self, r.roster.Members(), r.options.Fanout)
	r.mutex.Unlock()
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() { _ = r.peers.Announce(ctx, t.PeerAddress, self.PeerAddress, head) })
	}
	group.Wait()
}

// Watch waits for new heads at the platform while this instance is among the watchers of its zone. It is a duty of
// the supervisor.
func (r *Relay) Watch(ctx context.Context) error {
	after, retry := uint64(0), firstRetryDelay
	r.awaitRoster(ctx)
	for ctx.Err() == nil {
		if !r.watches() {
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
		after, retry = changes.Revision, firstRetryDelay
		r.options.OnPlatform()
	}
	return nil
}

// awaitRoster waits until the configuration has been read and, for a moment, until another member is known. Without it
// every instance would watch when all of them start together.
func (r *Relay) awaitRoster(ctx context.Context) {
	select {
	case <-r.ready:
	case <-ctx.Done():
	}
	for range rosterWaits {
		if ctx.Err() != nil || len(r.roster.Members()) > 1 {
			return
		}
		lrsupervise.Sleep(ctx, r.options.WatchInterval)
	}
}

func (r *Relay) watches() bool {
	return lrmember.Rank(r.roster.Members(), r.roster.Self()) < r.options.WatchersPerZone
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
	}
	return nil
}

// Check reads the platform's head now and then on the instances that do not watch it, so that a zone whose watchers
// are cut from the platform hears of changes too. It is a duty of the supervisor.
func (r *Relay) Check(ctx context.Context) error {
	for ctx.Err() == nil {
		lrsupervise.Sleep(ctx, r.jitter(checkInterval*time.Duration(r.zoneMembers())))
		if ctx.Err() != nil || r.watches() {
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
	for _, m := range r.roster.Members() {
		if m.Zone == r.roster.Self().Zone {
			count++
		}
	}
	return max(1, count)
}

// jitter returns a time between half and one and a half times the delay.
func (r *Relay) jitter(delay time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return delay/2 + time.Duration(r.options.Random.Int64N(int64(delay)))
}
