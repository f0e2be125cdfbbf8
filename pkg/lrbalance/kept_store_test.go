package lrbalance

import (
	"fmt"
	"testing"
	"time"
)

// newTestStore returns a lasting store.
func newTestStore() Store {
	return Store{Address: "10.0.9.9:80", Zone: "a", TokensPerMilli: 190, Residency: 25 * time.Second}
}

// storeRequest is a request of which engines may save and fetch the shared parts.
func storeRequest(shared, own string) Request {
	request := newTestRequest(shared, own)
	request.Stores = []Store{newTestStore()}
	return request
}

// answered chooses an engine for the request, lets it compute the prompt and ends the request.
func answered(t *testing.T, b *Balancer, now time.Time, request Request, engines []Engine) Choice {
	t.Helper()
	choice, ok := b.Choose(now, request, engines)
	requireEqual(t, ok, true)
	b.FirstEvent(now, choice)
	b.End(choice, true)
	return choice
}

// TestPartsAreSavedOnce saves shared parts when an engine lacks them and the store is not known to have got them.
func TestPartsAreSavedOnce(t *testing.T) {
	b, now, engines := newTestBalancer(1), time.Unix(1000, 0), newTestEngines(12)
	first := answered(t, b, now, storeRequest("file", "x"), engines)
	requireEqual(t, first.IsSaved, true)
	lacking := engines[:0:0]
	for _, e := range engines {
		if e.ID != first.Engine.ID {
			lacking = append(lacking, e)
		}
	}
	requireEqual(t, answered(t, b, now.Add(5*time.Second), storeRequest("file", "y"), lacking[:1]).IsSaved, false)
	requireEqual(t, answered(t, b, now.Add(beliefLife+time.Second), storeRequest("file", "z"), lacking[1:2]).IsSaved, true)
}

// TestWhatIsNotSaved leaves out parts that the store would keep in vain.
func TestWhatIsNotSaved(t *testing.T) {
	now := time.Unix(1000, 0)
	old := Engine{ID: "e", Zone: "a", Slots: 32, Version: 1, OutdatedFor: time.Second}
	fresh := Engine{ID: "e", Zone: "a", Slots: 32, Version: 1}
	short := storeRequest("file", "x")
	short.Parts = []Part{{ID: "rules", Tokens: minSaved - 1}, {ID: "x", Tokens: 5000}}
	unshared := storeRequest("file", "x")
	unshared.Tokens = 40_000
	alone := storeRequest("file", "x")
	alone.Parts = alone.Parts[2:]
	cases := []struct {
		name    string
		engine  Engine
		request Request
	}{
		{"parts under old weights", old, storeRequest("file", "x")},
		{"short parts", fresh, short},
		{"parts of a prompt that is shared little", fresh, unshared},
		{"the part of one request alone", fresh, alone},
		{"parts where there is no store", fresh, newTestRequest("file", "x")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			choice, ok := newTestBalancer(1).Choose(now, c.request, []Engine{c.engine})
			requireEqual(t, ok, true)
			requireEqual(t, choice.IsSaved, false)
		})
	}
}

// TestSaveOfABrokenRequestIsTriedAgain ends the first request before its prompt was computed.
func TestSaveOfABrokenRequestIsTriedAgain(t *testing.T) {
	b, now, engines := newTestBalancer(1), time.Unix(1000, 0), newTestEngines(1)
	first, _ := b.Choose(now, storeRequest("file", "x"), engines)
	requireEqual(t, first.IsSaved, true)
	b.End(first, false)
	second, _ := b.Choose(now, storeRequest("file", "y"), engines)
	requireEqual(t, second.IsSaved, true)
}

// TestFreshHolderGoesBeforeTheStore asks an engine whose use of the parts is fresh, since its link is faster.
func TestFreshHolderGoesBeforeTheStore(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(2)
	cases := []struct {
		after     time.Duration
		fromStore bool
	}{{time.Second, false}, {freshLife + time.Second, true}}
	for _, c := range cases {
		t.Run(fmt.Sprint("after ", c.after), func(t *testing.T) {
			b := newTestBalancer(1)
			answered(t, b, now, storeRequest("file", "x"), engines[:1])
			busy := map[string]Load{engines[0].ID: {Waiting: 500_000, Running: 32}}
			b.SetOthers(busy)
			choice, ok := b.Choose(now.Add(c.after), storeRequest("file", "y"), engines)
			requireEqual(t, ok, true)
			requireEqual(t, choice.Engine.ID, engines[1].ID)
			requireEqual(t, choice.FromStore, c.fromStore)
			requireEqual(t, choice.Source == engines[0].ID, !c.fromStore)
			requireEqual(t, choice.Fetched, 5000)
		})
	}
}

// TestUnknownPartsAreAskedForAtTheStore asks a lasting store for parts that this instance has not heard of, and expects nothing
// of it. Otherwise it asks an engine that other instances may have chosen.
func TestUnknownPartsAreAskedForAtTheStore(t *testing.T) {
	for _, residency := range []time.Duration{0, lastingFrom, 2 * lastingFrom} {
		t.Run(fmt.Sprint("kept for ", residency), func(t *testing.T) {
			request := storeRequest("file", "x")
			request.Stores[0].Residency = residency
			choice, _ := newTestBalancer(1).Choose(time.Unix(1000, 0), request, newTestEngines(3))
			requireEqual(t, choice.FromStore, residency > lastingFrom)
			requireEqual(t, choice.Source == "", choice.FromStore)
			requireEqual(t, choice.Fetched, 0)
		})
	}
}

// TestEnginesGoBeforeAStoreThatKeepsLittle asks an engine as long as it is believed in, where much comes into the store.
func TestEnginesGoBeforeAStoreThatKeepsLittle(t *testing.T) {
	b, now, engines := newTestBalancer(1), time.Unix(1000, 0), newTestEngines(2)
	request := storeRequest("file", "x")
	request.Stores[0].Residency = lastingFrom
	answered(t, b, now, request, engines[:1])
	b.SetOthers(map[string]Load{engines[0].ID: {Waiting: 500_000, Running: 32}})
	choice, _ := b.Choose(now.Add(freshLife+time.Second), request, engines)
	requireEqual(t, choice.Engine.ID, engines[1].ID)
	requireEqual(t, choice.Source, engines[0].ID)
	requireEqual(t, choice.Fetched, 5000)
}

// TestStoreIsWalled believes nothing of the store under another scope or other weights.
func TestStoreIsWalled(t *testing.T) {
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
			answered(t, b, now, storeRequest("file", "x"), engines[:1])
			choice, _ := b.Choose(now, c.request, c.engines)
			requireEqual(t, choice.Fetched, 0)
			requireEqual(t, choice.IsSaved, true)
		})
	}
}

// TestSavesAreToldToOthers hears of a save from another instance, and neither saves nor computes the parts again.
func TestSavesAreToldToOthers(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(2)
	teller, hearer := newTestBalancer(1), newTestBalancer(2)
	answered(t, teller, now, storeRequest("file", "x"), engines[:1])
	news, _ := teller.News(now, Cursors{}, true)
	hearer.Heard(now, news, false)
	choice, _ := hearer.Choose(now.Add(freshLife+time.Second), storeRequest("file", "y"), engines[1:])
	requireEqual(t, choice.FromStore, true)
	requireEqual(t, choice.Fetched, 5000)
	requireEqual(t, choice.IsSaved, false)
}

// TestStoresShareTheParts has two instances agree on the store of each prompt, and spreads prompts over all stores. The parts of a store
// that does not answer go to the others.
func TestStoresShareTheParts(t *testing.T) {
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

// TestFarTransfersTakeLonger counts a transfer to another availability zone twice.
func TestFarTransfersTakeLonger(t *testing.T) {
	s := newTestStore()
	requireEqual(t, s.transfer(1900, "b"), 2*s.transfer(1900, "a"))
	requireEqual(t, s.transfer(1900, "a"), 10*time.Millisecond)
}

// TestStoreIsBelievedInAsLongAsItKeeps believes in a save for the time that the store keeps it.
func TestStoreIsBelievedInAsLongAsItKeeps(t *testing.T) {
	engines := newTestEngines(2)
	cases := []struct {
		name      string
		residency time.Duration
		after     time.Duration
		want      int
	}{
		{"not known, soon", 0, keptLife - time.Second, 5000},
		{"not known, later", 0, keptLife + time.Second, 0},
		{"much comes in", 3 * time.Second, 3500 * time.Millisecond, 0},
		{"little comes in", time.Minute, 25 * time.Second, 5000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, now := newTestBalancer(1), time.Unix(1000, 0)
			request := storeRequest("file", "x")
			request.Stores[0].Residency = c.residency
			answered(t, b, now, request, engines[:1])
			choice, _ := b.Choose(now.Add(c.after), request, engines[1:])
			requireEqual(t, choice.Fetched, c.want)
		})
	}
}
