package lredge

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
)

// A planned stop hands the lease back at its beginning. If the instance took the lease again, it would end while it gives orders, and no
// other instance could give any until the lease has expired.
func TestDrainingInstanceDoesNotReacquireLease(t *testing.T) {
	d := newTestDaemon()
	ctx := context.Background()
	now := time.Unix(1000, 0)
	runLeaseChecks := func() bool {
		for range 20 {
			now = now.Add(leaseCheckInterval)
			d.keepLease(ctx, now)
		}
		_, held := d.leaseKeeper.Held(lrclock.BootTime())
		return held
	}
	if !runLeaseChecks() {
		t.Fatal("the only instance does not acquire the lease")
	}
	d.draining.Store(true)
	err := d.leaseKeeper.Release(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if runLeaseChecks() {
		t.Error("a draining instance acquired the lease again")
	}
}
