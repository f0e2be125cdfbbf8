package lredge

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
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

// TestInstancesTakeNoTurnsWithTheLease guards against an instance that orders engines again within the turn interval after another one did:
// engines that check no fencing numbers got orders from two instances by turns.
func TestInstancesTakeNoTurnsWithTheLease(t *testing.T) {
	d := newTestDaemon()
	ctx := context.Background()
	other := lrlease.NewKeeper(d.ports.Store, lrlease.Options{Name: rolloutLease, Instance: "edge-2", Validity: time.Second}, lrclock.BootTime)
	for _, k := range []*lrlease.Keeper{d.leaseKeeper, other} {
		err := k.Step(ctx)
		_, held := k.Held(lrclock.BootTime())
		if err != nil || !held {
			t.Fatalf("the lease is not acquired: %v", err)
		}
		err = k.Release(ctx)
		if err != nil {
			t.Fatal(err)
		}
	}
	err := d.leaseKeeper.Step(ctx)
	if !lrlease.ErrTurn.Has(err) {
		t.Errorf("the instance acquires the lease again at once: %v", err)
	}
}
