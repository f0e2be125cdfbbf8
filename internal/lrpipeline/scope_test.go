package lrpipeline

import (
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// TestKeysOfCachedBlocks checks that a block that an engine reports has the key under which requests look it up.
func TestKeysOfCachedBlocks(t *testing.T) {
	cases := []struct {
		name, scope string
		want        lrbalance.Key
		ok          bool
	}{
		{"scope of an account", scopeOf("school", 12), lrbalance.KeyOf(balanceScope("school", "m"), 12, "rules"), true},
		{"scope of an account with a dot", scopeOf("s.chool", 12), lrbalance.KeyOf(balanceScope("s.chool", "m"), 12, "rules"), true},
		{"scope of another client", "s1", 0, false},
		{"version is not a number", "school.x", 0, false},
		{"empty scope", "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			key, ok := CachedBlock{Scope: c.scope, Model: "m", ID: "rules"}.Key()
			requireEqual(t, key, c.want)
			requireEqual(t, ok, c.ok)
		})
	}
}
