package lrrollout

import (
	"fmt"
	"testing"
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
		wanted  map[string]int64
		busy    map[string]bool
		want    string
	}{
		{"nothing is named", newTestEngines(1, 1), nil, nil, "[]"},
		{"all are there", newTestEngines(2, 2), map[string]int64{"m": 2}, nil, "[]"},
		{"the least busy go first", newTestEngines(1, 1, 1), map[string]int64{"m": 2}, nil, "[{e2 m 2} {e1 m 2}]"},
		{"the oldest go first", newTestEngines(1, 2, 2), map[string]int64{"m": 3}, nil, "[{e0 m 3} {e2 m 3}]"},
		{"versions in between are skipped", newTestEngines(1), map[string]int64{"m": 7}, nil, "[{e0 m 7}]"},
		{"those that change count", newTestEngines(1, 1, 1), map[string]int64{"m": 2}, map[string]bool{"e0": true}, "[{e2 m 2}]"},
		{"no room", newTestEngines(1, 1, 1), map[string]int64{"m": 2}, map[string]bool{"e0": true, "e1": true}, "[]"},
		{"other models are left alone", newTestEngines(1, 1), map[string]int64{"n": 2}, nil, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requireEqual(t, fmt.Sprint(Next(options, c.engines, c.wanted, c.busy)), c.want)
		})
	}
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
