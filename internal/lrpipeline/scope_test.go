package lrpipeline

import (
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// TestKeysOfCachedParts finds the key under which requests look for a part that an engine tells of.
func TestKeysOfCachedParts(t *testing.T) {
	cases := []struct {
		name, scope string
		want        lrbalance.Key
		ok          bool
	}{
		{"of an account", scopeOf("school", 12), lrbalance.KeyOf(balanceScope("school", "m"), 12, "rules"), true},
		{"of an account with a dot", scopeOf("s.chool", 12), lrbalance.KeyOf(balanceScope("s.chool", "m"), 12, "rules"), true},
		{"of somebody else", "s1", 0, false},
		{"of no version", "school.x", 0, false},
		{"without a scope", "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			key, ok := CachedPart{Scope: c.scope, Model: "m", ID: "rules"}.Key()
			requireEqual(t, key, c.want)
			requireEqual(t, ok, c.ok)
		})
	}
}
