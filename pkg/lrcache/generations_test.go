package lrcache_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrcache"
)

const (
	maxEntries = 100
	maxAge     = 9 * time.Second
	// inUse is a key that is set again and again.
	inUse = 1 << 20
)

// TestGenerationsAreBounded guards against a container that grows with what is set, or that drops what was set last or is in use.
func TestGenerationsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	g := lrcache.NewGenerations[int, int](lrcache.Limits{Entries: maxEntries, Age: maxAge})
	for n := range 20 * maxEntries {
		g.Set(now, n, n)
		g.Set(now, inUse, n)
		if g.Len() > 2*maxEntries {
			t.Fatalf("%d entries", g.Len())
		}
		requireHeld(t, g, inUse, true)
		requireHeld(t, g, n-maxEntries/2, n >= maxEntries/2)
		requireHeld(t, g, n-2*maxEntries, false)
	}
}

// TestGenerationsDropOldEntries guards against entries that are dropped before their time, or stay for good while others are set.
func TestGenerationsDropOldEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	g := lrcache.NewGenerations[int, int](lrcache.Limits{Entries: maxEntries, Age: maxAge})
	g.Set(now, 1, 1)
	for n := range 30 {
		now = now.Add(time.Second)
		g.Set(now, 2, n)
		if n < 9 {
			requireHeld(t, g, 1, true)
		}
	}
	requireHeld(t, g, 1, false)
	requireHeld(t, g, 2, true)
	g.Delete(2)
	requireHeld(t, g, 2, false)
}

func requireHeld(t *testing.T, g *lrcache.Generations[int, int], key int, want bool) {
	t.Helper()
	_, held := g.Get(key)
	if held != want {
		t.Fatalf("key %d is held: %t, want %t", key, held, want)
	}
}
