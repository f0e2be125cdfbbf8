package lrpeer

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrfifo"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

const listingTimeout = 2 * time.Second

// A InstanceList caches the platform's list of instances. To limit the load on the platform, only a few readers in each zone
// read the list from it, and the other instances fetch it from them. While the platform is down, any instance fetches the
// list from any other.
type InstanceList struct {
	directory lrplatform.Directory
	members   MemberSource
	pool      *Pool
	options   InstanceListOptions
	random    *rand.Rand

	mutex      sync.Mutex
	instances  []lrplatform.Instance
	digest     uint64
	laterLists *lrfifo.Queue[string]
	readAt     time.Time
	listeners  []func(now time.Time, instances []lrplatform.Instance)
}

// InstanceListOptions configure where an instance reads the list.
type InstanceListOptions struct {
	// Readers is the number of instances in each zone that read the list from the platform.
	Readers int
	// Seeds are the peer addresses to fetch from while no other member is known.
	Seeds []string
	// MaxAge is the age of the list above which an instance that is no reader reads it from the platform.
	MaxAge time.Duration
	// Clock returns the current time.
	Clock func() time.Time
	// Random selects the peers to fetch from.
	Random *rand.Rand
}

// NewInstanceList returns an empty Listing.
func NewInstanceList(directory lrplatform.Directory, members MemberSource, pool *Pool, options InstanceListOptions) *InstanceList {
	return &InstanceList{
		directory: directory, members: members, pool: pool, options: options, random: options.Random,
		laterLists: lrfifo.New[string](laterListCapacity),
	}
}

// OnChange registers a listener that is called with each list that differs from the previous one. It must be called
// before the first read.
func (l *InstanceList) OnChange(listener func(now time.Time, instances []lrplatform.Instance)) {
	l.listeners = append(l.listeners, listener)
}

// Instances returns the last list that was read, or an ErrUnavailable when none was.
func (l *InstanceList) Instances(context.Context) ([]lrplatform.Instance, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readAt.IsZero() {
		return nil, lrplatform.ErrUnavailable.New("no list of instances has been read from the platform or a peer yet")
	}
	return l.instances, nil
}

// Refresh reads the list from the platform on the readers. The other instances learn of changes with heartbeats, and read
// the list from peers, then from the platform, when it is too old.
func (l *InstanceList) Refresh(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	reader := lrmember.WatchRank(l.members.Members(), l.members.Self()) < l.options.Readers
	if reader && l.readPlatform(ctx, now) == nil {
		return
	}
	if l.isRecent(now) {
		return
	}
	_ = l.readPeers(ctx, now)
	if reader || l.isRecent(now) {
		return
	}
	_ = l.readPlatform(ctx, now)
}

// Pull fetches the list from peers that have announced a later one, until the context ends. It is a supervised duty.
func (l *InstanceList) Pull(ctx context.Context) error {
	for {
		address, err := l.laterLists.Pop(ctx)
		if err != nil {
			return nil
		}
		l.pull(ctx, address)
	}
}

func (l *InstanceList) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	_ = l.readPeer(ctx, l.options.Clock(), address)
}

// state returns the digest and age of the list, which heartbeats carry.
func (l *InstanceList) state(now time.Time) *lrpeerpb.ListState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readAt.IsZero() {
		return nil
	}
	return &lrpeerpb.ListState{Digest: l.digest, AgeMillis: AgeMillis(now.Sub(l.readAt))}
}

// applyState applies the digest and age of the list that the peer at the address has announced.
func (l *InstanceList) applyState(now time.Time, address string, state *lrpeerpb.ListState) {
	if state == nil {
		return
	}
	readAt := now.Add(-time.Duration(state.GetAgeMillis()) * time.Millisecond)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !readAt.After(l.readAt) {
		return
	}
	if state.GetDigest() == l.digest {
		l.readAt = readAt
		return
	}
	l.laterLists.Push(address)
}

func (l *InstanceList) isRecent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Sub(l.readAt) < l.options.MaxAge
}

func (l *InstanceList) readPlatform(ctx context.Context, now time.Time) error {
	instances, err := l.directory.Instances(ctx)
	if err != nil {
		return err
	}
	return l.set(now, now, instances)
}

// readPeers fetches the list from one peer after the other until one succeeds.
func (l *InstanceList) readPeers(ctx context.Context, now time.Time) error {
	err := errors.New("no peer is known")
	for _, address := range l.sources() {
		err = l.readPeer(ctx, now, address)
		if err == nil {
			return nil
		}
	}
	return err
}

func (l *InstanceList) sources() []string {
	self := l.members.Self()
	var readers, sameZone, otherZones []string
	live := l.members.Members()
	for _, m := range live {
		switch {
		case m.Name == self.Name:
		case m.Zone != self.Zone:
			otherZones = append(otherZones, m.PeerAddress)
		case lrmember.WatchRank(live, m) < l.options.Readers:
			readers = append(readers, m.PeerAddress)
		default:
			sameZone = append(sameZone, m.PeerAddress)
		}
	}
	if len(live) == 1 {
		otherZones = append(otherZones, l.options.Seeds...)
	}
	l.shuffle(readers)
	l.shuffle(sameZone)
	l.shuffle(otherZones)
	readers = append(readers, sameZone[:min(1, len(sameZone))]...)
	return append(readers, otherZones[:min(maxOtherZoneSources, len(otherZones))]...)
}

const (
	maxOtherZoneSources = 3
	// laterListCapacity is the number of peers with a later list that can be queued for a fetch.
	laterListCapacity = 16
)

func (l *InstanceList) shuffle(addresses []string) {
	l.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

func (l *InstanceList) readPeer(ctx context.Context, now time.Time, address string) error {
	connection, err := l.pool.Connection(address)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	digest := l.digest
	l.mutex.Unlock()
	reply, err := lrpeerpb.NewMembershipClient(connection).FetchInstances(ctx,
		&lrpeerpb.FetchInstancesRequest{Digest: digest}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return err
	}
	readAt := now.Add(-time.Duration(reply.GetAgeMillis()) * time.Millisecond)
	if reply.GetDigest() == digest && digest != 0 {
		l.advanceReadAt(readAt)
		return nil
	}
	instances, err := decodeInstances(reply.GetInstances())
	if err != nil || len(instances) == 0 {
		return errors.Join(err, fmt.Errorf("peer %s has no list of instances", address))
	}
	return l.set(now, readAt, instances)
}

func decodeInstances(encoded [][]byte) ([]lrplatform.Instance, error) {
	instances := make([]lrplatform.Instance, len(encoded))
	for n, e := range encoded {
		err := json.Unmarshal(e, &instances[n])
		if err != nil {
			return nil, fmt.Errorf("decode instance: %w", err)
		}
	}
	return instances, nil
}

func (l *InstanceList) advanceReadAt(readAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if readAt.After(l.readAt) {
		l.readAt = readAt
	}
}

// set stores the list unless a later one is known, and notifies the listeners when it has changed.
func (l *InstanceList) set(now, readAt time.Time, instances []lrplatform.Instance) error {
	data, err := json.Marshal(instances)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(data)
	digest := binary.LittleEndian.Uint64(sum[:])
	l.mutex.Lock()
	late := readAt.Before(l.readAt)
	changed := !late && digest != l.digest
	if !late {
		l.instances, l.digest, l.readAt = instances, digest, readAt
	}
	l.mutex.Unlock()
	if !changed {
		return nil
	}
	for _, listener := range l.listeners {
		listener(now, instances)
	}
	return nil
}

// FetchInstances handles a request of another instance for the list.
func (l *InstanceList) FetchInstances(_ context.Context, request *lrpeerpb.FetchInstancesRequest) (*lrpeerpb.FetchInstancesReply, error) {
	now := l.options.Clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply := &lrpeerpb.FetchInstancesReply{Digest: l.digest}
	if l.readAt.IsZero() {
		return reply, nil
	}
	reply.AgeMillis = AgeMillis(now.Sub(l.readAt))
	if request.GetDigest() == l.digest {
		return reply, nil
	}
	for _, i := range l.instances {
		data, err := json.Marshal(i)
		if err != nil {
			return nil, err
		}
		reply.Instances = append(reply.Instances, data)
	}
	return reply, nil
}
