package lrplacement

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const testModel = "award-review"

func testStart() time.Time { return time.Unix(1_700_000_000, 0) }

type fakeMembers struct{ members []lrpeer.Member }

func (f fakeMembers) Self() lrpeer.Member      { return f.members[0] }
func (f fakeMembers) Members() []lrpeer.Member { return f.members }

// fakeLoads returns the given updates and records those that it receives.
type fakeLoads struct {
	updates      []lrregistry.ServerUpdate
	cacheUpdates []lrroute.CacheUpdate
	received     []lrregistry.ServerUpdate
}

func (f *fakeLoads) TakeUpdates(time.Time) []lrregistry.ServerUpdate { return f.updates }
func (f *fakeLoads) TakeCacheUpdates() []lrroute.CacheUpdate         { return f.cacheUpdates }
func (f *fakeLoads) Apply(_ time.Time, updates []lrregistry.ServerUpdate) {
	f.received = append(f.received, updates...)
}

func newPlacer() *lrroute.NestedPlacer {
	n := lrroute.NewNestedPlacer(lrroute.WithSeed(1), lrroute.WithEstimateBytes(1<<16), lrroute.WithPlacementUpdates())
	engines := make([]lrroute.Engine, 0, 12)
	for k := range 12 {
		engines = append(engines, lrroute.Engine{Name: fmt.Sprint("engine-", k), Incarnation: "1", ReportedAt: testStart()})
	}
	n.SetEngines(testStart(), testModel, engines)
	return n
}

func testRequest(id string, blocks int) lrroute.Request {
	scope := lrprefix.Scope{Account: "parish-office", Model: testModel, Version: "1"}
	request := lrroute.Request{ID: id, Scope: scope, Tokens: blocks * lrprefix.BlockTokens}
	for n := range blocks {
		request.Chain = append(request.Chain, lrprefix.ID{1, byte(n)})
	}
	return request
}

// startPeer serves a Sharer and returns its address.
func startPeer(t *testing.T, sharer *Sharer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	lrpeerpb.RegisterPlacementServer(server, sharer)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestUpdatesReachOtherInstances(t *testing.T) {
	clock := func() time.Time { return testStart().Add(time.Second) }
	pool := lrpeer.NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	other, otherLoads := newPlacer(), &fakeLoads{}
	address := startPeer(t, NewSharer(fakeMembers{}, pool, other, otherLoads, clock, zerolog.Nop()))
	own := newPlacer()
	ownLoads := &fakeLoads{
		updates:      []lrregistry.ServerUpdate{{Name: "engine-3", Incarnation: "1", QueuedTokens: 7, Running: 2, Age: time.Second}},
		cacheUpdates: []lrroute.CacheUpdate{{Engine: "engine-5", Incarnation: "1", Stored: []lrprefix.ID{{9}}}},
	}
	fake := fakeMembers{members: []lrpeer.Member{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z", PeerAddress: address}}}
	sharer := NewSharer(fake, pool, own, ownLoads, clock, zerolog.Nop())

	placement, _ := own.Place(testStart(), testRequest("1", 5))
	sharer.Send(context.Background(), testStart().Add(time.Second))

	got, _ := other.Place(clock().Add(time.Second), testRequest("2", 5))
	requireEqual(t, got.Engine, placement.Engine, "engine")
	requireEqual(t, got.ExpectedCachedTokens, 5*lrprefix.BlockTokens, "expected cached tokens")
	requireEqual(t, len(otherLoads.received), 1, "notices")
	requireEqual(t, reflect.DeepEqual(otherLoads.received[0], ownLoads.updates[0]), true, "equal updates")
	cached := lrroute.Request{ID: "3", Scope: testRequest("", 0).Scope, Chain: []lrprefix.ID{{9}}, Tokens: lrprefix.BlockTokens}
	got, _ = other.Place(clock().Add(time.Second), cached)
	requireEqual(t, got.Engine, "engine-5", "engine that a cache update named")
}

func TestSendingStaysWithinItsBudget(t *testing.T) {
	b := budget{perSecond: 1000}
	sent, now := 0, testStart()
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for b.allowed(now) >= 90 {
			b.spend(90)
			sent += 90
		}
	}
	if sent > 11000 || sent < 9000 {
		t.Fatalf("%d bytes were sent in 10 s at 1000 bytes a second", sent)
	}
}

func TestReceiversOfTheOwnZoneComeFirst(t *testing.T) {
	fake := fakeMembers{members: []lrpeer.Member{{Name: "self", Zone: "a", PeerAddress: "0"}}}
	for n := range 9 {
		zone := []string{"a", "b", "c"}[n%3]
		fake.members = append(fake.members, lrpeer.Member{Name: fmt.Sprint(n), Zone: zone, PeerAddress: fmt.Sprint(n)})
	}
	sharer := NewSharer(fake, nil, nil, nil, nil, zerolog.Nop())
	requireEqual(t, len(sharer.receivers(0)), 0, "receivers without budget")
	requireEqual(t, len(sharer.receivers(100)), 9, "receivers with budget for all")
	chosen := map[string]bool{}
	for range 3 {
		for _, m := range sharer.receivers(2) {
			requireEqual(t, m.Zone, "a", "zone")
			chosen[m.Name] = true
		}
	}
	requireEqual(t, len(chosen), 3, "instances of the own zone that were chosen in rotation")
}
