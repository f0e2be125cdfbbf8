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
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrring"
)

const listingTimeout = 2 * time.Second

// A Listing keeps the platform's list of instances. A few instances of each zone read it from the platform, the others
// from these, and every one from any other while the platform is down.
type Listing struct {
	directory lrplatform.Directory
	roster    Roster
	pool      *Pool
	options   ListingOptions
	random    *rand.Rand

	mutex     sync.Mutex
	instances []lrplatform.Instance
	digest    uint64
	offers    *lrring.Ring[string]
	readAt    time.Time
	listeners []func(now time.Time, instances []lrplatform.Instance)
}

// ListingOptions say who reads the list where.
type ListingOptions struct {
	// Readers is the number of instances of each zone that read from the platform.
	Readers int
	// Seeds are peer addresses to read from while nobody is known.
	Seeds []string
	// Patience is the age of the list from which on an instance reads it from the platform itself.
	Patience time.Duration
	// Clock returns the present time.
	Clock func() time.Time
	// Random chooses the peers that are asked.
	Random *rand.Rand
}

// NewListing returns a Listing that has read nothing yet.
func NewListing(directory lrplatform.Directory, roster Roster, pool *Pool, options ListingOptions) *Listing {
	return &Listing{
		directory: directory, roster: roster, pool: pool, options: options, random: options.Random,
		offers: lrring.New[string](offerRoom),
	}
}

// OnChange makes the listing call the listener with each list that differs from the last one. It must be called before
// the listing runs.
func (l *Listing) OnChange(listener func(now time.Time, instances []lrplatform.Instance)) {
	l.listeners = append(l.listeners, listener)
}

// Instances returns the last list that was read.
func (l *Listing) Instances(context.Context) ([]lrplatform.Instance, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readAt.IsZero() {
		return nil, lrplatform.ErrUnavailable.New("no list of instances has been read from the platform or a peer yet")
	}
	return l.instances, nil
}

// Refresh reads the list from the platform on the instances that do so for the others. These hear of changes with
// heartbeats and read it themselves when it has grown old.
func (l *Listing) Refresh(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	reader := lrmember.Rank(l.roster.Members(), l.roster.Self()) < l.options.Readers
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

// Pull reads the list from peers that have offered a later one. It is a duty of the supervisor.
func (l *Listing) Pull(ctx context.Context) error {
	for {
		address, err := l.offers.Pop(ctx)
		if err != nil {
			return nil
		}
		l.pull(ctx, address)
	}
}

func (l *Listing) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	_ = l.readPeer(ctx, l.options.Clock(), address)
}

// state returns what heartbeats tell of the list.
func (l *Listing) state(now time.Time) *lrpeerpb.ListState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readAt.IsZero() {
		return nil
	}
	return &lrpeerpb.ListState{Digest: l.digest, AgeMillis: uint32(now.Sub(l.readAt).Milliseconds())}
}

// offer takes in what the peer at the address tells of its list.
func (l *Listing) offer(now time.Time, address string, state *lrpeerpb.ListState) {
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
	l.offers.Push(address)
}

func (l *Listing) isRecent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Sub(l.readAt) < l.options.Patience
}

func (l *Listing) readPlatform(ctx context.Context, now time.Time) error {
	instances, err := l.directory.Instances(ctx)
	if err != nil {
		return err
	}
	return l.set(now, now, instances)
}

// readPeers asks peers in turn until one answers.
func (l *Listing) readPeers(ctx context.Context, now time.Time) error {
	err := errors.New("no peer is known")
	for _, address := range l.sources() {
		err = l.readPeer(ctx, now, address)
		if err == nil {
			return nil
		}
	}
	return err
}

func (l *Listing) sources() []string {
	self := l.roster.Self()
	var readers, near, far []string
	members := l.roster.Members()
	for _, m := range members {
		switch {
		case m.Name == self.Name:
		case m.Zone != self.Zone:
			far = append(far, m.PeerAddress)
		case lrmember.Rank(members, m) < l.options.Readers:
			readers = append(readers, m.PeerAddress)
		default:
			near = append(near, m.PeerAddress)
		}
	}
	if len(members) == 1 {
		far = append(far, l.options.Seeds...)
	}
	l.shuffle(readers)
	l.shuffle(near)
	l.shuffle(far)
	readers = append(readers, near[:min(1, len(near))]...)
	return append(readers, far[:min(maxFarSources, len(far))]...)
}

const (
	maxFarSources = 3
	// offerRoom is the number of peers with a later list that may wait to be read from.
	offerRoom = 16
)

func (l *Listing) shuffle(addresses []string) {
	l.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

func (l *Listing) readPeer(ctx context.Context, now time.Time, address string) error {
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
		l.touch(readAt)
		return nil
	}
	instances, err := decodeInstances(reply.GetInstances())
	if err != nil || len(instances) == 0 {
		return errors.Join(err, fmt.Errorf("peer %s has no list", address))
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

func (l *Listing) touch(readAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if readAt.After(l.readAt) {
		l.readAt = readAt
	}
}

// set takes in a list unless a later one is known.
func (l *Listing) set(now, readAt time.Time, instances []lrplatform.Instance) error {
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

// FetchInstances answers another instance that reads the list from this one.
func (l *Listing) FetchInstances(_ context.Context, request *lrpeerpb.FetchInstancesRequest) (*lrpeerpb.FetchInstancesReply, error) {
	now := l.options.Clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply := &lrpeerpb.FetchInstancesReply{Digest: l.digest}
	if l.readAt.IsZero() {
		return reply, nil
	}
	reply.AgeMillis = uint32(now.Sub(l.readAt).Milliseconds())
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
