package lrbalance

import (
	"fmt"
	"testing"
	"time"
)

// newTestStore returns a store of long residency.
func newTestStore() Store {
	return Store{Address: "10.0.9.9:80", Zone: "a", TokensPerMilli: 190, Residency: 25 * time.Second}
}

// storeRequest returns a request whose shared blocks engines may save to a store and fetch from there.
func storeRequest(shared, own string) Request {
	request := newTestRequest(shared, own)
	request.Stores = []Store{newTestStore()}
	return request
}

// complete chooses an engine for the request, lets it compute the prompt and ends the request.
func complete(t *testing.T, b *Balancer, now time.Time, request Request, engines []Engine) Choice {
	t.Helper()
	choice, ok := b.Choose(now, request, engines)
	requireEqual(t, ok, true)
	b.FirstEvent(now, choice)
	b.End(choice, true)
	return choice
}

// TestBlocksAreSavedOnce expects a save when an engine lacks the shared blocks and the store is not known to have
// received them recently.
func TestBlocksAreSavedOnce(t *testing.T) {
	b, now, engines := newTestBalancer(1), time.Unix(1000, 0), newTestEngines(12)
	first := complete(t, b, now, storeRequest("file", "x"), engines)
	requireEqual(t, first.SavesToStore, true)
	lacking := engines[:0:0]
	for _, e := range engines {
		if e.ID != first.Engine.ID {
			lacking = append(lacking, e)
		}
	}
	requireEqual(t, complete(t, b, now.Add(5*time.Second), storeRequest("file", "y"), lacking[:1]).SavesToStore, false)
	requireEqual(t, complete(t, b, now.Add(estimateTTL+time.Second), storeRequest("file", "z"), lacking[1:2]).SavesToStore, true)
}

// TestBlocksThatAreNotSaved covers blocks that are not worth a place in the store.
func TestBlocksThatAreNotSaved(t *testing.T) {
	now := time.Unix(1000, 0)
	old := Engine{ID: "e", Zone: "a", Slots: 32, Version: 1, OutdatedFor: time.Second}
	fresh := Engine{ID: "e", Zone: "a", Slots: 32, Version: 1}
	short := storeRequest("file", "x")
	short.Blocks = []Block{{ID: "rules", Tokens: minSavedTokens - 1}, {ID: "x", Tokens: 5000}}
	unshared := storeRequest("file", "x")
	unshared.Tokens = 40_000
	alone := storeRequest("file", "x")
	alone.Blocks = alone.Blocks[2:]
	cases := []struct {
		name    string
		engine  Engine
		request Request
	}{
		{"blocks under outdated weights", old, storeRequest("file", "x")},
		{"short blocks", fresh, short},
		{"blocks of a prompt with a small shared share", fresh, unshared},
		{"the block of one request alone", fresh, alone},
		{"blocks where there is no store", fresh, newTestRequest("file", "x")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			choice, ok := newTestBalancer(1).Choose(now, c.request, []Engine{c.engine})
			requireEqual(t, ok, true)
			requireEqual(t, choice.SavesToStore, false)
		})
	}
}

// TestSaveOfAFailedRequestIsRetried ends the first request before its prompt was computed.
func TestSaveOfAFailedRequestIsRetried(t *testing.T) {
	b, now, engines := newTestBalancer(1), time.Unix(1000, 0), newTestEngines(1)
	first, _ := b.Choose(now, storeRequest("file", "x"), engines)
	requireEqual(t, first.SavesToStore, true)
	b.End(first, false)
	second, _ := b.Choose(now, storeRequest("file", "y"), engines)
	requireEqual(t, second.SavesToStore, true)
}

// TestRecentHolderPrecedesTheStore expects a fetch from an engine that used the blocks recently, because its link is
// faster.
func TestRecentHolderPrecedesTheStore(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(2)
	cases := []struct {
		after     time.Duration
		fromStore bool
	}{{time.Second, false}, {recentUse + time.Second, true}}
	for _, c := range cases {
		t.Run(fmt.Sprint("after ", c.after), func(t *testing.T) {
			b := newTestBalancer(1)
			complete(t, b, now, storeRequest("file", "x"), engines[:1])
			busy := map[string]Load{engines[0].ID: {Waiting: 500_000, Running: 32}}
			b.SetOtherLoads(busy)
			choice, ok := b.Choose(now.Add(c.after), storeRequest("file", "y"), engines)
			requireEqual(t, ok, true)
			requireEqual(t, choice.Engine.ID, engines[1].ID)
			requireEqual(t, choice.FetchesFromStore, c.fromStore)
			requireEqual(t, choice.Source == engines[0].ID, !c.fromStore)
			requireEqual(t, choice.Fetched, 5000)
		})
	}
}

// TestUnknownBlocksAreFetchedFromTheStore expects a fetch from a store of long residency for blocks of which this
// instance knows nothing, without counting on a hit. Without such a store, the source is an engine that other instances
// may have chosen.
func TestUnknownBlocksAreFetchedFromTheStore(t *testing.T) {
	for _, residency := range []time.Duration{0, longResidency, 2 * longResidency} {
		t.Run(fmt.Sprint("residency ", residency), func(t *testing.T) {
			request := storeRequest("file", "x")
			request.Stores[0].Residency = residency
			choice, _ := newTestBalancer(1).Choose(time.Unix(1000, 0), request, newTestEngines(3))
			requireEqual(t, choice.FetchesFromStore, residency > longResidency)
			requireEqual(t, choice.Source == "", choice.FetchesFromStore)
			requireEqual(t, choice.Fetched, 0)
		})
	}
}

// TestEnginesPrecedeAStoreOfShortResidency expects a fetch from an engine until its estimate expires, where the store
// evicts blocks soon.
func TestEnginesPrecedeAStoreOfShortResidency(t *testing.T) {
	b, now, engines := newTestBalancer(1), time.Unix(1000, 0), newTestEngines(2)
	request := storeRequest("file", "x")
	request.Stores[0].Residency = longResidency
	complete(t, b, now, request, engines[:1])
	b.SetOtherLoads(map[string]Load{engines[0].ID: {Waiting: 500_000, Running: 32}})
	choice, _ := b.Choose(now.Add(recentUse+time.Second), request, engines)
	requireEqual(t, choice.Engine.ID, engines[1].ID)
	requireEqual(t, choice.Source, engines[0].ID)
	requireEqual(t, choice.Fetched, 5000)
}

// TestStoreIsSeparatedByScopeAndVersion expects blocks saved under one scope and version of the weights to be unknown
// under others.
func TestStoreIsSeparatedByScopeAndVersion(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(2)
	other := storeRequest("file", "y")
	other.Scope = "hall/m"
	newer := []Engine{{ID: "n", Zone: "a", Slots: 32, Version: 2}}
	cases := []struct {
		name    string
		request Request
		engines []Engine
	}{{"another account", other, engines[1:]}, {"other weights", storeRequest("file", "y"), newer}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(1)
			complete(t, b, now, storeRequest("file", "x"), engines[:1])
			choice, _ := b.Choose(now, c.request, c.engines)
			requireEqual(t, choice.Fetched, 0)
			requireEqual(t, choice.SavesToStore, true)
		})
	}
}

// TestSavesAreReportedToOthers reports a save to another instance, which must neither save nor compute the blocks again.
func TestSavesAreReportedToOthers(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(2)
	sender, receiver := newTestBalancer(1), newTestBalancer(2)
	complete(t, sender, now, storeRequest("file", "x"), engines[:1])
	updates, _ := sender.Updates(now, Cursors{}, true)
	receiver.Merge(now, updates, false)
	choice, _ := receiver.Choose(now.Add(recentUse+time.Second), storeRequest("file", "y"), engines[1:])
	requireEqual(t, choice.FetchesFromStore, true)
	requireEqual(t, choice.Fetched, 5000)
	requireEqual(t, choice.SavesToStore, false)
}

// TestStoresShareTheBlocks expects that two instances choose the same store for each prompt and that prompts spread over
// all stores. When a store is unreachable, only its prompts move to the others.
func TestStoresShareTheBlocks(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(3)
	stores := []Store{{Address: "10.0.9.1:80", Zone: "a"}, {Address: "10.0.9.2:80", Zone: "b"}, {Address: "10.0.9.3:80", Zone: "c"}}
	const prompts = 600
	counts := map[string]int{}
	for n := range prompts {
		request := newTestRequest(fmt.Sprint("file", n), "x")
		request.Stores = stores
		first, _ := newTestBalancer(1).Choose(now, request, engines)
		request.Stores = []Store{stores[2], stores[0], stores[1]}
		second, _ := newTestBalancer(2).Choose(now, request, engines)
		requireEqual(t, first.Store.Address, second.Store.Address)
		counts[first.Store.Address]++
		request.Stores = stores[:2]
		third, _ := newTestBalancer(3).Choose(now, request, engines)
		requireEqual(t, third.Store.Address != stores[2].Address, true)
		if first.Store.Address != stores[2].Address {
			requireEqual(t, third.Store.Address, first.Store.Address)
		}
	}
	for _, s := range stores {
		requireEqual(t, counts[s.Address] > prompts/4 && counts[s.Address] < prompts/2, true)
	}
}

// TestCrossZoneTransfersTakeLonger expects a transfer to another availability zone to take twice as long.
func TestCrossZoneTransfersTakeLonger(t *testing.T) {
	s := newTestStore()
	requireEqual(t, s.transfer(1900, "b"), 2*s.transfer(1900, "a"))
	requireEqual(t, s.transfer(1900, "a"), 10*time.Millisecond)
}

// TestStoreEstimateLastsAsLongAsItsResidency expects a saved block to be known for the residency time of the store.
func TestStoreEstimateLastsAsLongAsItsResidency(t *testing.T) {
	engines := newTestEngines(2)
	cases := []struct {
		name      string
		residency time.Duration
		after     time.Duration
		want      int
	}{
		{"unknown residency, within the TTL", 0, storeTTL - time.Second, 5000},
		{"unknown residency, after the TTL", 0, storeTTL + time.Second, 0},
		{"short residency", 3 * time.Second, 3500 * time.Millisecond, 0},
		{"long residency", time.Minute, 25 * time.Second, 5000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, now := newTestBalancer(1), time.Unix(1000, 0)
			request := storeRequest("file", "x")
			request.Stores[0].Residency = c.residency
			complete(t, b, now, request, engines[:1])
			choice, _ := b.Choose(now.Add(c.after), request, engines[1:])
			requireEqual(t, choice.Fetched, c.want)
		})
	}
}
