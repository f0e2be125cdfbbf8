package lrstream

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// trustAll is a SuspectTracker that trusts every request.
type trustAll struct{}

func (trustAll) State(time.Time, string) lrquarantine.State          { return lrquarantine.Trusted }
func (trustAll) Begin(time.Time, string, string) (isolated, ok bool) { return false, true }
func (trustAll) End(string, string, bool)                            {}
func (trustAll) Occupied(time.Time) []string                         { return nil }

func (trustAll) Crashed(context.Context, time.Time, lrquarantine.Crash) lrquarantine.State {
	return lrquarantine.Trusted
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
