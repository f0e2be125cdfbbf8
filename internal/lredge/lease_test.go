package lredge

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
)

// TestDrainingInstanceLeavesTheLeaseAlone hands the lease back at the beginning of a planned stop. The instance must not take it
// again: it would end while it gives orders, and nobody could until the lease has lapsed.
func TestDrainingInstanceLeavesTheLeaseAlone(t *testing.T) {
	d := newTestDaemon()
	ctx := context.Background()
	now := time.Unix(1000, 0)
	keep := func() bool {
		for range 20 {
			now = now.Add(contendPause)
			d.keepLease(ctx, now)
		}
		_, held := d.keeper.Held(lrclock.Boot())
		return held
	}
	if !keep() {
		t.Fatal("a lone instance does not get the lease")
	}
	d.draining.Store(true)
	err := d.keeper.Release(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if keep() {
		t.Error("a draining instance took the lease again")
	}
}
