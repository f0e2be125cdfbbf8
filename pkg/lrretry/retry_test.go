package lrretry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

func TestBudget(t *testing.T) {
	budget := lrretry.NewBudget(0.5, 2)
	for _, want := range []bool{true, true, false} {
		requireEqual(t, budget.Spend(), want, "spend")
	}
	budget.Earn()
	requireEqual(t, budget.Spend(), false, "spend half a retry")
	budget.Earn()
	requireEqual(t, budget.Spend(), true, "spend an earned retry")
}

func TestBackoff(t *testing.T) {
	backoff := lrretry.Backoff{Base: 10 * time.Millisecond, Max: 50 * time.Millisecond}
	for retry, want := range []time.Duration{5, 10, 20, 25, 25} {
		requireEqual(t, backoff.Delay(retry, 0.5), want*time.Millisecond, "delay")
	}
	requireEqual(t, backoff.Delay(3, 0), 0, "delay for the random value 0")
}

func TestEjector(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	options := lrretry.EjectorOptions{Failures: 2, Duration: 10 * time.Second, MaxDuration: 15 * time.Second, ProbeTimeout: 5 * time.Second}
	newEjected := func() *lrretry.Ejector {
		e := lrretry.NewEjector(options)
		requireEqual(t, e.Failed(at(0), "a"), false, "ejected by the first failure")
		requireEqual(t, e.Failed(at(0), "a"), true, "ejected by the second failure")
		return e
	}
	t.Run("a success between failures prevents the ejection", func(t *testing.T) {
		e := lrretry.NewEjector(options)
		e.Failed(at(0), "a")
		e.Succeeded("a")
		e.Failed(at(1), "a")
		requireEjected(t, e, at(1))
	})
	t.Run("one probe at a time after the ejection", func(t *testing.T) {
		e := newEjected()
		requireEjected(t, e, at(9), "a")
		requireEjected(t, e, at(10))
		e.Started(at(10), "a")
		requireEjected(t, e, at(11), "a")
		requireEjected(t, e, at(15))
	})
	t.Run("a successful probe ends the ejection", func(t *testing.T) {
		e := newEjected()
		e.Started(at(10), "a")
		e.Succeeded("a")
		requireEjected(t, e, at(10))
	})
	t.Run("a failed probe prolongs the ejection up to the maximum", func(t *testing.T) {
		e := newEjected()
		e.Started(at(10), "a")
		requireEqual(t, e.Failed(at(11), "a"), true, "ejected by the failed probe")
		requireEjected(t, e, at(25), "a")
		requireEjected(t, e, at(26))
	})
}

func requireEjected(t *testing.T, e *lrretry.Ejector, now time.Time, want ...string) {
	t.Helper()
	if got := e.Ejected(now); !slices.Equal(got, want) {
		t.Fatalf("ejected %v, want %v", got, want)
	}
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
