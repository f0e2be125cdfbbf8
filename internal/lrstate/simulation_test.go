package lrstate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

const (
	simInstances  = 5
	simSteps      = 400
	recoverySteps = 12
)

var errPartitioned = errors.New("the peer cannot be reached")

// simInstance is one instance of the simulation.
type simInstance struct {
	follower *Follower
	relay    *Relay
	store    *lrplatform.FaultyPlatform
	// highest is the highest version that any process of the instance has had.
	highest uint64
	serving bool
}

// simulation changes a configuration while instances are partitioned, restarted and sent old versions.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	memory       *lrplatform.Memory
	instances    []*simInstance
	partitioned  [simInstances][simInstances]bool
	outage       [simInstances]bool
	stale        [simInstances]bool
	oldHeads     []lrconfig.Head
	acceptedKeys map[string]bool
	keys         int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), memory: lrplatform.NewMemory(), acceptedKeys: map[string]bool{},
	}
	for n := range simInstances {
		s.instances = append(s.instances, &simInstance{})
		s.restart(n)
	}
	return s
}

// simPeers is the Peers implementation of one instance.
type simPeers struct {
	simulation *simulation
	from       int
}

func (p *simPeers) Source(address string) Source {
	to := int(address[0] - '0')
	return &simSource{simulation: p.simulation, from: p.from, to: to}
}

func (p *simPeers) Announce(context.Context, string, string, lrconfig.Head) error { return nil }

type simSource struct {
	simulation *simulation
	from, to   int
}

func (s *simSource) Head(_ context.Context, base lrconfig.Head) (lrconfig.Head, error) {
	if s.simulation.partitioned[s.from][s.to] {
		return lrconfig.Head{}, errPartitioned
	}
	return headOf(s.simulation.instances[s.to].follower, base)
}

// headOf returns the head above the base that an instance gets from the one of the follower.
func headOf(f *Follower, base lrconfig.Head) (lrconfig.Head, error) {
	return headFromPeer(base, func(above uint64) (lrconfig.Head, uint64, error) {
		head, differenceTo := f.HeadAbove(above)
		return head, differenceTo, nil
	})
}

func (s *simSource) Shards(_ context.Context, digests []string) (map[string][]byte, error) {
	if s.simulation.partitioned[s.from][s.to] {
		return nil, errPartitioned
	}
	return s.simulation.instances[s.to].follower.ShardValues(digests), nil
}

type simMembers struct{ self int }

func memberOf(n int) lrpeer.Member {
	return lrpeer.Member{Name: fmt.Sprint(n), Zone: fmt.Sprint(n), PeerAddress: fmt.Sprint(n)}
}

func (r simMembers) Self() lrpeer.Member { return memberOf(r.self) }

func (r simMembers) Members() []lrpeer.Member {
	members := make([]lrpeer.Member, simInstances)
	for n := range members {
		members[n] = memberOf(n)
	}
	return members
}

// restart replaces the process of the instance. The new one serves once it has confirmed its configuration.
func (s *simulation) restart(n int) {
	highest := s.instances[n].highest
	store := lrplatform.NewFaultyPlatform(s.memory, func(lrplatform.StoreCall) lrplatform.StoreFault {
		return lrplatform.StoreFault{Unavailable: s.outage[n], Stale: s.stale[n]}
	})
	if s.instances[n].store != nil {
		store = s.instances[n].store
	}
	follower := NewFollower(zerolog.Nop(), func(invariant string) { s.t.Fatalf("violated: %s", invariant) })
	relay := NewRelay(follower, store, &simPeers{simulation: s, from: n}, simMembers{n}, RelayOptions{
		Candidates: func(context.Context) []lrpeer.Member { return simMembers{n}.Members() },
		OnPlatform: func() {}, Log: zerolog.Nop(), Random: s.random,
	})
	s.instances[n] = &simInstance{follower: follower, relay: relay, store: store, highest: highest}
}

// canLearn reports whether the instance reaches a source that has the version.
func (s *simulation) canLearn(n int, version uint64) bool {
	if !s.outage[n] && !s.stale[n] {
		return true
	}
	for to, i := range s.instances {
		if to != n && !s.partitioned[n][to] && i.follower.Snapshot().Version() >= version {
			return true
		}
	}
	return false
}

func (s *simulation) confirm(n int) {
	i := s.instances[n]
	reachable := s.canLearn(n, i.highest)
	if !i.relay.Confirm(context.Background()) {
		return
	}
	i.serving = true
	if reachable && i.follower.Snapshot().Version() < i.highest {
		s.t.Fatalf("instance %d serves version %d after %d", n, i.follower.Snapshot().Version(), i.highest)
	}
	if i.follower.Snapshot().Version() < i.highest {
		i.highest = i.follower.Snapshot().Version()
	}
}

// makeChange adds one key, with a write or a reply that may be lost.
func (s *simulation) makeChange() {
	fault := lrplatform.StoreFault{}
	faultCall := s.random.IntN(8)
	switch s.random.IntN(4) {
	case 0:
		fault.LoseReply = true
	case 1:
		fault.LoseWrite = true
	}
	store := lrplatform.NewFaultyPlatform(s.memory, func(call lrplatform.StoreCall) lrplatform.StoreFault {
		if call.Number == faultCall {
			return fault
		}
		return lrplatform.StoreFault{}
	})
	s.keys++
	id := fmt.Sprint("key-", s.keys)
	err := addKey(context.Background(), NewPublisher(store), id)
	s.acceptedKeys[id] = err == nil
}

// step runs one random event.
func (s *simulation) step() {
	ctx := context.Background()
	n, other := s.random.IntN(simInstances), s.random.IntN(simInstances)
	i := s.instances[n]
	switch s.random.IntN(12) {
	case 0, 1:
		s.makeChange()
	case 2, 3:
		_ = i.follower.Update(ctx, i.relay.platform)
	case 4, 5, 6:
		i.relay.update(ctx, fmt.Sprint(other))
	case 7:
		s.oldHeads = append(s.oldHeads, i.follower.Snapshot().Head())
	case 8:
		heads := s.oldHeads
		if len(heads) > 0 {
			_ = i.follower.Accept(ctx, heads[s.random.IntN(len(heads))], s.instances[other].relay.platform.Shards)
		}
	case 9:
		s.restart(n)
	case 10:
		s.partitioned[n][other] = !s.partitioned[n][other]
	case 11:
		s.outage[n] = s.random.IntN(3) == 0
		s.stale[n] = s.random.IntN(3) == 0
	}
}

func (s *simulation) check() {
	for n, i := range s.instances {
		if !i.serving {
			s.confirm(n)
		}
		version := i.follower.Snapshot().Version()
		if i.serving && version < i.highest {
			s.t.Fatalf("instance %d fell from version %d to %d", n, i.highest, version)
		}
		if i.serving {
			i.highest = version
		}
	}
}

// endFaultsAndSync ends every fault and lets each instance read from one random other instance in each of recoverySteps
// rounds.
func (s *simulation) endFaultsAndSync() {
	s.partitioned = [simInstances][simInstances]bool{}
	s.outage, s.stale = [simInstances]bool{}, [simInstances]bool{}
	_ = s.instances[0].follower.Update(context.Background(), s.instances[0].relay.platform)
	for range recoverySteps {
		for n, i := range s.instances {
			i.relay.update(context.Background(), fmt.Sprint((n+1+s.random.IntN(simInstances-1))%simInstances))
		}
		s.check()
	}
}

// checkAccepted asserts that every instance has exactly the changes that were accepted.
func (s *simulation) checkAccepted() {
	stored, err := NewPublisher(s.memory).Read(context.Background())
	requireNoError(s.t, err)
	for n, i := range s.instances {
		snapshot := i.follower.Snapshot()
		if !slices.Equal(snapshot.Keys(), stored.Keys()) || snapshot.Version() != stored.Version() {
			s.t.Fatalf("instance %d has version %d, the platform %d", n, snapshot.Version(), stored.Version())
		}
		for id, accepted := range s.acceptedKeys {
			_, ok := snapshot.Key(id)
			if ok != accepted {
				s.t.Fatalf("instance %d has key %s: %t, accepted: %t", n, id, ok, accepted)
			}
		}
	}
}

func TestVersionsNeverDecreaseAndAcceptedChangesSurvive(t *testing.T) {
	for seed := range simSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed)
			for range simSteps {
				s.step()
				s.check()
			}
			s.endFaultsAndSync()
			s.checkAccepted()
		})
	}
}

func TestForkIsAViolation(t *testing.T) {
	violations := 0
	f := NewFollower(zerolog.Nop(), func(string) { violations++ })
	ctx := context.Background()
	for _, writeID := range []string{"a", "a", "b"} {
		requireNoError(t, f.Accept(ctx, lrconfig.Head{Version: 1, WriteID: writeID}, nil))
	}
	if violations != 1 || f.Snapshot().Head().WriteID != "a" {
		t.Fatalf("%d violations, active: %s", violations, f.Snapshot().Head().WriteID)
	}
}

func TestInvalidVersionIsRejectedAndLastValidStaysActive(t *testing.T) {
	ctx, memory := context.Background(), lrplatform.NewMemory()
	publisher := NewPublisher(memory)
	requireNoError(t, addKey(ctx, publisher, "first"))
	f := NewFollower(zerolog.Nop(), func(string) {})
	requireNoError(t, f.Update(ctx, NewPlatformSource(memory)))
	broken := Change{What: "broken", Shards: map[string]lrconfig.Shard{
		lrconfig.AccountShard("a"): {Accounts: map[string]lrconfig.Account{"a": {Name: "a", Plan: "missing"}}},
	}}
	_, err := publisher.Apply(ctx, time.Unix(0, 0), f.Snapshot(), broken)
	requireNoError(t, err)
	requireNoError(t, f.Update(ctx, NewPlatformSource(memory)))
	if f.Snapshot().Version() != 1 || f.Rejection() == nil || f.Rejection().Version != 2 {
		t.Fatalf("active: %d, rejection: %v", f.Snapshot().Version(), f.Rejection())
	}
}

// The platform comes back from an older copy. An instance that holds a lost version reads one that follows another version of the same
// number. It kept what the lost version had put in force, a key for example.
func TestLostVersionLeavesNothingBehind(t *testing.T) {
	ctx, memory := context.Background(), lrplatform.NewMemory()
	publisher, source := NewPublisher(memory), NewPlatformSource(memory)
	newFollower := func() *Follower { return NewFollower(zerolog.Nop(), func(string) {}) }
	byPlatform, byPeer, peer := newFollower(), newFollower(), newFollower()
	requireNoError(t, addKey(ctx, publisher, "first"))
	older := memory.Copy()
	requireNoError(t, addKey(ctx, publisher, "lost"))
	requireNoError(t, byPlatform.Update(ctx, source))
	requireNoError(t, byPeer.Update(ctx, source))
	memory.Restore(older)
	for _, key := range []string{"second", "third"} {
		requireNoError(t, addKey(ctx, publisher, key))
		requireNoError(t, peer.Update(ctx, source))
	}
	requireNoError(t, byPlatform.Update(ctx, source))
	head, err := headOf(peer, byPeer.Snapshot().Head())
	requireNoError(t, err)
	requireNoError(t, byPeer.Accept(ctx, head, source.Shards))
	for name, f := range map[string]*Follower{"from the platform": byPlatform, "from a peer": byPeer} {
		if !slices.Equal(f.Snapshot().Keys(), peer.Snapshot().Keys()) {
			t.Errorf("%s: got keys %v, want %v", name, f.Snapshot().Keys(), peer.Snapshot().Keys())
		}
	}
}
