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

type fakeRoster struct{ members []lrpeer.Member }

func (f fakeRoster) Self() lrpeer.Member      { return f.members[0] }
func (f fakeRoster) Members() []lrpeer.Member { return f.members }

// fakeLoads has the given notices to tell and keeps those that it is told.
type fakeLoads struct {
	notices  []lrregistry.Notice
	holdings []lrroute.Holding
	told     []lrregistry.Notice
}

func (f *fakeLoads) Notices(time.Time) []lrregistry.Notice { return f.notices }
func (f *fakeLoads) TakeHoldings() []lrroute.Holding       { return f.holdings }
func (f *fakeLoads) Apply(_ time.Time, notices []lrregistry.Notice) {
	f.told = append(f.told, notices...)
}

func newNested() *lrroute.Nested {
	n := lrroute.NewNested(lrroute.WithSeed(1), lrroute.WithBeliefBytes(1<<16), lrroute.WithNotes())
	engines := make([]lrroute.Engine, 0, 12)
	for k := range 12 {
		engines = append(engines, lrroute.Engine{Name: fmt.Sprint("engine-", k), Incarnation: "1", ReportedAt: testStart()})
	}
	n.SetEngines(testStart(), testModel, engines)
	return n
}

func testRequest(id string, pieces int) lrroute.Request {
	scope := lrprefix.Scope{Account: "parish-office", Model: testModel, Version: "1"}
	request := lrroute.Request{ID: id, Scope: scope, Tokens: pieces * lrprefix.PieceTokens}
	for n := range pieces {
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

func TestNotesReachTheOtherInstance(t *testing.T) {
	clock := func() time.Time { return testStart().Add(time.Second) }
	pool := lrpeer.NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	other, otherLoads := newNested(), &fakeLoads{}
	address := startPeer(t, NewSharer(fakeRoster{}, pool, other, otherLoads, clock, zerolog.Nop()))
	own := newNested()
	ownLoads := &fakeLoads{
		notices:  []lrregistry.Notice{{Name: "engine-3", Incarnation: "1", QueuedTokens: 7, Running: 2, Age: time.Second}},
		holdings: []lrroute.Holding{{Engine: "engine-5", Incarnation: "1", Stored: []lrprefix.ID{{9}}}},
	}
	roster := fakeRoster{members: []lrpeer.Member{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z", PeerAddress: address}}}
	sharer := NewSharer(roster, pool, own, ownLoads, clock, zerolog.Nop())

	placement, _ := own.Place(testStart(), testRequest("1", 5))
	sharer.Send(context.Background(), testStart().Add(time.Second))

	got, _ := other.Place(clock().Add(time.Second), testRequest("2", 5))
	requireEqual(t, got.Engine, placement.Engine, "engine")
	requireEqual(t, got.ExpectedCachedTokens, 5*lrprefix.PieceTokens, "expected cached tokens")
	requireEqual(t, len(otherLoads.told), 1, "notices")
	requireEqual(t, reflect.DeepEqual(otherLoads.told[0], ownLoads.notices[0]), true, "equal notices")
	held := lrroute.Request{ID: "3", Scope: testRequest("", 0).Scope, Chain: []lrprefix.ID{{9}}, Tokens: lrprefix.PieceTokens}
	got, _ = other.Place(clock().Add(time.Second), held)
	requireEqual(t, got.Engine, "engine-5", "engine that an event named")
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
	roster := fakeRoster{members: []lrpeer.Member{{Name: "self", Zone: "a", PeerAddress: "0"}}}
	for n := range 9 {
		zone := []string{"a", "b", "c"}[n%3]
		roster.members = append(roster.members, lrpeer.Member{Name: fmt.Sprint(n), Zone: zone, PeerAddress: fmt.Sprint(n)})
	}
	sharer := NewSharer(roster, nil, nil, nil, nil, zerolog.Nop())
	requireEqual(t, len(sharer.receivers(0)), 0, "receivers without budget")
	requireEqual(t, len(sharer.receivers(100)), 9, "receivers with budget for all")
	told := map[string]bool{}
	for range 3 {
		for _, m := range sharer.receivers(2) {
			requireEqual(t, m.Zone, "a", "zone")
			told[m.Name] = true
		}
	}
	requireEqual(t, len(told), 3, "instances of the own zone that were told in turn")
}
