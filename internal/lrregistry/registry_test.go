package lrregistry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const testModel = "award-review"

func testStart() time.Time { return time.Unix(1_700_000_000, 0) }

// fakeEngines fails the calls to the engines that are unreachable.
type fakeEngines struct {
	unreachable map[string]bool

	incarnation string
}

type fakeEngine struct {
	lrengine.Engine
	address string
	all     *fakeEngines
}

func (f *fakeEngines) Dial(address string) lrengine.Engine {
	return &fakeEngine{address: address, all: f}
}

func (f *fakeEngine) Load(context.Context) (lrengine.Load, error) {
	if f.all.unreachable[f.address] {
		return lrengine.Load{}, lrengine.ErrNotSent.New("cannot be reached")
	}
	return lrengine.Load{Incarnation: "1", QueuedTokens: 7}, nil
}

// Events returns one block as stored and another as evicted, and nothing once all events have been read.
func (f *fakeEngine) Events(_ context.Context, from uint64) (lrengine.EventBatch, error) {
	batch := lrengine.EventBatch{Incarnation: f.all.incarnation, Next: 3}
	for n := from; n < 3; n++ {
		batch.Events = append(batch.Events, lrengine.CacheEvent{Sequence: n, Block: lrprefix.ID{byte(n % 2)}.String(), Stored: n < 2})
	}
	return batch, nil
}

type fakeConsumer struct {
	mutex   sync.Mutex
	applied []lrroute.CacheUpdate
}

func (f *fakeConsumer) ApplyCacheUpdate(_ time.Time, update lrroute.CacheUpdate) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applied = append(f.applied, update)
}

func (f *fakeConsumer) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.applied)
}

// fakePlacer keeps the last list of engines.
type fakePlacer struct {
	lrroute.Placer
	engines []lrroute.Engine
}

func (f *fakePlacer) SetEngines(_ time.Time, _ string, engines []lrroute.Engine) { f.engines = engines }

type fakeMembers struct {
	self    lrpeer.Member
	members []lrpeer.Member
}

func (f fakeMembers) Self() lrpeer.Member      { return f.self }
func (f fakeMembers) Members() []lrpeer.Member { return f.members }

func testInstances(engines int) []lrplatform.Instance {
	instances := make([]lrplatform.Instance, 0, engines)
	for n := range engines {
		name := fmt.Sprintf("engine-%03d", n)
		instances = append(instances, lrplatform.Instance{
			Name: name, Address: name, Role: lrplatform.RoleEngine, Zone: fmt.Sprint("zone-", n%3), Models: []string{testModel},
		})
	}
	return instances
}

func testMembers(zones, perZone int) []lrpeer.Member {
	members := make([]lrpeer.Member, 0, zones*perZone)
	for n := range zones * perZone {
		members = append(members, lrpeer.Member{Name: fmt.Sprint("router-", n), Zone: fmt.Sprint("zone-", n%zones)})
	}
	return members
}

// newTestRegistries returns one registry for each member, all with the same engines.
func newTestRegistries(members []lrpeer.Member, engines []lrplatform.Instance, fake *fakeEngines) ([]*Registry, []*fakePlacer) {
	registries := make([]*Registry, 0, len(members))
	placers := make([]*fakePlacer, 0, len(members))
	for _, m := range members {
		placer := &fakePlacer{}
		r := New(m.Zone, nil, fake, placer, zerolog.Nop(), WithMembers(fakeMembers{self: m, members: members}))
		r.SetInstances(testStart(), engines)
		registries, placers = append(registries, r), append(placers, placer)
	}
	return registries, placers
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestEachEngineIsAskedOnce(t *testing.T) {
	cases := []struct {
		name           string
		zones, perZone int
	}{{"instances in every zone", 3, 4}, {"no instance in one zone", 2, 4}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			readers := map[string]int{}
			members := testMembers(c.zones, c.perZone)
			registries, _ := newTestRegistries(members, testInstances(60), &fakeEngines{})
			for _, r := range registries {
				for _, name := range r.Share() {
					readers[name]++
				}
			}
			requireEqual(t, len(readers), 60, "engines whose load is read")
			for name, count := range readers {
				requireEqual(t, count, 1, "instances that read "+name)
			}
		})
	}
}

func TestUpdatesSpreadLoadsAndReachability(t *testing.T) {
	fake := &fakeEngines{unreachable: map[string]bool{"engine-001": true}}
	registries, placers := newTestRegistries(testMembers(3, 1), testInstances(3), fake)
	now := testStart().Add(time.Second)
	for _, r := range registries {
		r.RefreshLoads(context.Background(), now)
	}
	for _, from := range registries {
		updates := from.TakeUpdates(now.Add(10 * time.Millisecond))
		requireEqual(t, len(updates), 1, "updates of one instance")
		for _, to := range registries {
			to.Apply(now.Add(20*time.Millisecond), updates)
		}
	}
	for n, p := range placers {
		registries[n].PublishChanges(context.Background(), now.Add(30*time.Millisecond))
		requireEqual(t, len(p.engines), 3, "engines")
		requireEqual(t, p.engines[0].QueuedTokens, 7, "queue of an engine whose load another instance read")
		requireEqual(t, p.engines[1].Unreachable, true, "reachability of the engine whose calls fail")
		registries[n].Apply(now.Add(unreachableValidity), nil)
		registries[n].changed = true
		registries[n].PublishChanges(context.Background(), now.Add(2*unreachableValidity))
		requireEqual(t, p.engines[1].Unreachable, false, "reachability that no later update confirmed")
	}
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	registries, placers := newTestRegistries(testMembers(3, 1), testInstances(3), &fakeEngines{})
	registries[0].MarkLeaving(testStart(), "engine-002")
	requireEqual(t, len(placers[0].engines), 2, "engines that accept new requests")
	registries[1].Apply(testStart(), registries[0].TakeUpdates(testStart()))
	registries[1].PublishChanges(context.Background(), testStart())
	requireEqual(t, len(placers[1].engines), 2, "engines that accept new requests after an update")
}

func TestLeavingMarkEndsWithIncarnation(t *testing.T) {
	fake := &fakeEngines{}
	registries, placers := newTestRegistries(testMembers(1, 1), testInstances(3), fake)
	registries[0].RefreshLoads(context.Background(), testStart())
	NewLeavingServers(registries[0]).ApplyUpdates(testStart(), []lrpeer.ServerUpdate{{Name: "engine-002", Leaving: true, Incarnation: "1"}})
	requireEqual(t, len(placers[0].engines), 2, "engines while one is leaving")
	requireEqual(t, NewLeavingServers(registries[0]).NextUpdates(testStart(), 10)[0].Name, "engine-002", "name in the update for other instances")
	registries[0].Apply(testStart().Add(time.Second), []ServerUpdate{{Name: "engine-002", Incarnation: "2"}})
	registries[0].PublishChanges(context.Background(), testStart().Add(time.Second))
	requireEqual(t, len(placers[0].engines), 3, "engines after the leaving one has come back")
}

// TestLeavingThatTheListTakesBackIsOver lists a plain service and an engine as leaving, and then as ready again, while instances tell one another
// what they know and one of them restarts. The instances handed the old state back to one another, so that it outlived the list: nothing was
// sent to these servers any more.
func TestLeavingThatTheListTakesBackIsOver(t *testing.T) {
	const service = "service-a"
	members := testMembers(3, 1)
	listWith := func(leaving bool) []lrplatform.Instance {
		instances := append(testInstances(3), lrplatform.Instance{Name: service, Address: service, Role: lrplatform.RoleService, Service: "pay", Leaving: leaving})
		instances[1].Leaving = leaving
		return instances
	}
	registries, placers := newTestRegistries(members, listWith(false), &fakeEngines{incarnation: "1"})
	exchange := func() {
		for _, from := range registries {
			from.RefreshLoads(context.Background(), testStart())
			updates, loads := NewLeavingServers(from).NextUpdates(testStart(), 10), from.TakeUpdates(testStart())
			for _, to := range registries {
				NewLeavingServers(to).ApplyUpdates(testStart(), updates)
				to.Apply(testStart(), loads)
			}
		}
	}
	set := func(instances []lrplatform.Instance, readers ...int) {
		for _, n := range readers {
			registries[n].SetInstances(testStart(), instances)
		}
		exchange()
	}
	set(listWith(true), 0)
	set(listWith(true), 1, 2)
	set(listWith(false), 0)
	set(listWith(false), 1)
	restarted, _ := newTestRegistries(members[2:], listWith(false), &fakeEngines{incarnation: "1"})
	registries[2] = restarted[0]
	exchange()
	for n, r := range registries {
		requireEqual(t, len(r.Services("pay")), 1, fmt.Sprint("services of instance ", n))
	}
	registries[0].publish(testStart())
	requireEqual(t, len(placers[0].engines), 3, "engines")
}

func TestEnginesWithoutReportAreUsable(t *testing.T) {
	_, placers := newTestRegistries(testMembers(1, 1), testInstances(3), &fakeEngines{})
	requireEqual(t, len(placers[0].engines), 3, "engines")
	requireEqual(t, placers[0].engines[0].Unreachable, false, "reachability before the first report")
}

func TestCacheEventsAreReadOnceAndAgainAfterRestart(t *testing.T) {
	fake, consumer := &fakeEngines{incarnation: "1"}, &fakeConsumer{}
	r := New("zone-0", nil, fake, &fakePlacer{}, zerolog.Nop(), WithCacheUpdates(consumer))
	r.SetInstances(testStart(), testInstances(1))
	r.ReadCacheEvents(context.Background(), testStart())
	requireEqual(t, len(consumer.applied[0].Stored), 1, "blocks stored")
	requireEqual(t, consumer.applied[0].Stored[0], lrprefix.ID{1}, "block stored")
	requireEqual(t, consumer.applied[0].Evicted[0], lrprefix.ID{0}, "block evicted")
	r.ReadCacheEvents(context.Background(), testStart().Add(eventInterval))
	requireEqual(t, len(consumer.applied[1].Stored), 0, "blocks reported twice")
	fake.incarnation = "2"
	r.ReadCacheEvents(context.Background(), testStart().Add(2*eventInterval))
	requireEqual(t, consumer.applied[2].Incarnation, "2", "incarnation")
	requireEqual(t, len(consumer.applied[2].Stored), 1, "blocks stored by the new incarnation")
	requireEqual(t, len(r.TakeCacheUpdates()), 1, "cache updates for the other instances")
}

func TestCacheEventsOfManyEnginesAreNotRead(t *testing.T) {
	for _, engines := range []int{maxEventEngines, maxEventEngines + 1} {
		consumer := &fakeConsumer{}
		r := New("zone-0", nil, &fakeEngines{incarnation: "1"}, &fakePlacer{}, zerolog.Nop(), WithCacheUpdates(consumer))
		r.SetInstances(testStart(), testInstances(engines))
		r.ReadCacheEvents(context.Background(), testStart())
		requireEqual(t, consumer.count() > 0, engines <= maxEventEngines, "events were read")
	}
}
