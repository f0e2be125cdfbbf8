package lrtable

import (
	"testing"
	"time"
)

func newTestTable() *Table {
	first := 0
	return New(Spec{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Priority: 2, Targets: []Target{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
			{Name: "open", Host: "b.example", PathPrefix: "/", Public: true},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Accounts: []Account{{Name: "school", Keys: []string{"k1", "k2"}, Priority: &first}, {Name: "hall", Keys: []string{"k3"}}},
	})
}

func TestMatch(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "open"},
		{"c.example", "/x/1", ""},
	}
	table := newTestTable()
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			route, _ := table.Match(c.host, c.path)
			requireEqual(t, route.Name, c.want)
		})
	}
}

func TestAccountOf(t *testing.T) {
	table := newTestTable()
	for key, want := range map[string]string{"k1": "school", "k2": "school", "k3": "hall", "": "", "K1": ""} {
		account, _ := table.AccountOf(key)
		requireEqual(t, account.Name, want)
	}
}

func TestNeedsKey(t *testing.T) {
	table := newTestTable()
	requireEqual(t, table.NeedsKey(Route{}), true)
	requireEqual(t, table.NeedsKey(Route{Public: true}), false)
	requireEqual(t, New(Spec{}).NeedsKey(Route{}), false)
}

func TestTargetFollowsWeights(t *testing.T) {
	route, _ := newTestTable().Match("a.example", "/x/y/")
	const requests = 10000
	counts := map[string]int{}
	for n := range requests {
		counts[route.Target(string(rune(n)))]++
	}
	share := float64(counts["t"]) / requests
	requireEqual(t, share > 0.05 && share < 0.15, true)
	requireEqual(t, route.Target("same"), route.Target("same"))
	requireEqual(t, Route{}.Target("none"), "")
}

func TestPriorityOf(t *testing.T) {
	table := newTestTable()
	route, _ := table.Match("a.example", "/x/y/")
	school, _ := table.AccountOf("k1")
	hall, _ := table.AccountOf("k3")
	requireEqual(t, route.PriorityOf(school), 0)
	requireEqual(t, route.PriorityOf(hall), 2)
}

// TestUsableTarget guards against a comparison with a target that is absent or implausible.
func TestUsableTarget(t *testing.T) {
	requireEqual(t, Route{TargetLatency: time.Second, Timeout: 2 * time.Second}.HasUsableTarget(), true)
	requireEqual(t, Route{TargetLatency: time.Second}.HasUsableTarget(), true)
	requireEqual(t, Route{Timeout: 2 * time.Second}.HasUsableTarget(), false)
	requireEqual(t, Route{TargetLatency: -time.Second}.HasUsableTarget(), false)
	requireEqual(t, Route{TargetLatency: time.Hour, Timeout: 2 * time.Second}.HasUsableTarget(), false)
	requireEqual(t, Route{TargetLatency: time.Second, Priority: -1}.HasUsableTarget(), false)
	requireEqual(t, Route{TargetLatency: time.Second, Priority: 100}.HasUsableTarget(), false)
}

func TestRepeatable(t *testing.T) {
	requireEqual(t, Route{Kind: Idempotent}.IsRetryable(), true)
	requireEqual(t, Route{Kind: NonIdempotent}.IsRetryable(), false)
	requireEqual(t, Route{Kind: Streaming}.IsRetryable(), false)
	requireEqual(t, Route{Kind: Streaming, Resumable: true}.IsRetryable(), true)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
