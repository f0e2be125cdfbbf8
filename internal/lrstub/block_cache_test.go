package lrstub

import (
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

func TestBlockCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache := newBlockCache(3)
	a, b, c, d := blockID(1), blockID(2), blockID(3), blockID(4)
	cache.store([]lrprefix.ID{a, b, c})
	requireMatch(t, cache, []lrprefix.ID{a, b, d}, 2)
	cache.store([]lrprefix.ID{d})
	requireMatch(t, cache, []lrprefix.ID{c}, 0)
	requireMatch(t, cache, []lrprefix.ID{a, b}, 2)
	requireMatch(t, cache, []lrprefix.ID{d}, 1)
}

func TestBlockCacheEventsStartAtSequence(t *testing.T) {
	cache := newBlockCache(1)
	cache.store([]lrprefix.ID{blockID(1), blockID(2)})
	all := cache.since(0)
	if len(all) != 3 || !all[0].Stored || all[2].Stored {
		t.Fatalf("events: %v", all)
	}
	if len(cache.since(2)) != 1 || cache.since(3) != nil {
		t.Fatalf("events from 2: %v, from 3: %v", cache.since(2), cache.since(3))
	}
}

func blockID(n byte) lrprefix.ID { return lrprefix.ID{n} }

func requireMatch(t *testing.T, cache *blockCache, chain []lrprefix.ID, want int) {
	t.Helper()
	got := cache.match(chain)
	if got != want {
		t.Fatalf("match: got %d blocks, want %d", got, want)
	}
}
