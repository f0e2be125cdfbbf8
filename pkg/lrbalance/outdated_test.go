package lrbalance

import (
	"testing"
	"time"
)

// Four versions of weights within eleven seconds left most engines with older ones. They were out of use after 5 s although the platform
// allowed 20 s, so that nearly all requests were refused.
func TestOlderWeightsAreUsedUntilTheLimit(t *testing.T) {
	cases := []struct {
		name        string
		limit       time.Duration
		outdatedFor time.Duration
		isUsed      bool
	}{
		{"within the default", 0, 4 * time.Second, true},
		{"beyond the default", 0, 6 * time.Second, false},
		{"within a later limit", 19 * time.Second, 18 * time.Second, true},
		{"beyond a later limit", 19 * time.Second, 19 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(Options{PrefillPerMilli: 85, Zone: "a", OutdatedLimit: c.limit})
			_, ok := b.Choose(time.Unix(0, 0), Request{Tokens: 100, Instances: 1}, []Engine{{ID: "e", Zone: "a", Slots: 8, OutdatedFor: c.outdatedFor}})
			if ok != c.isUsed {
				t.Errorf("used: %v, want %v", ok, c.isUsed)
			}
		})
	}
}
