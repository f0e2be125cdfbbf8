package lrrollout

import (
	"fmt"
	"testing"
	"time"
)

func newTestEngines(versions ...int64) []Engine {
	engines := make([]Engine, len(versions))
	for n, v := range versions {
		engines[n] = Engine{ID: fmt.Sprint("e", n), Versions: map[string]int64{"m": v}, Running: len(versions) - n}
	}
	return engines
}

func TestNext(t *testing.T) {
	options := Options{MinAtOnce: 2, Share: 0.25}
	cases := []struct {
		name    string
		engines []Engine
		desired map[string]int64
		busy    map[string]bool
		want    string
	}{
		{"no desired version", newTestEngines(1, 1), nil, nil, "[]"},
		{"all engines are up to date", newTestEngines(2, 2), map[string]int64{"m": 2}, nil, "[]"},
		{"engines with the fewest requests go first", newTestEngines(1, 1, 1), map[string]int64{"m": 2}, nil, "[{e2 m 2 false} {e1 m 2 false}]"},
		{"engines with the oldest weights go first", newTestEngines(1, 2, 2), map[string]int64{"m": 3}, nil, "[{e0 m 3 false} {e2 m 3 false}]"},
		{"intermediate versions are skipped", newTestEngines(1), map[string]int64{"m": 7}, nil, "[{e0 m 7 false}]"},
		{"busy engines count", newTestEngines(1, 1, 1), map[string]int64{"m": 2}, map[string]bool{"e0": true}, "[{e2 m 2 false}]"},
		{"too many busy engines", newTestEngines(1, 1, 1), map[string]int64{"m": 2}, map[string]bool{"e0": true, "e1": true}, "[]"},
		{"other models are not updated", newTestEngines(1, 1), map[string]int64{"n": 2}, nil, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requireEqual(t, fmt.Sprint(Next(options, Conditions{}, c.engines, c.desired, c.busy)), c.want)
		})
	}
}

// TestLateRolloutUsesLateShare covers the successor of a holder that died: it starts late, so it has less time left for
// the same engines.
func TestLateRolloutUsesLateShare(t *testing.T) {
	options := Options{MinAtOnce: 1, Share: 0.25, LateShare: 0.5, LateAfter: 2 * time.Second}
	engines := newTestEngines(1, 1, 1, 1, 1, 1, 1, 1)
	for n := range engines {
		engines[n].OutdatedFor = time.Second
	}
	requireEqual(t, len(Next(options, Conditions{}, engines, map[string]int64{"m": 2}, nil)), 2)
	for n := range engines {
		engines[n].OutdatedFor = 3 * time.Second
	}
	late := Next(options, Conditions{}, engines, map[string]int64{"m": 2}, nil)
	requireEqual(t, len(late), 4)
	requireEqual(t, late[0].SkipsDrain, true)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
