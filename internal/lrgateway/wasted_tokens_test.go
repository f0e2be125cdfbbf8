package lrgateway

import (
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

func TestWastedTokens(t *testing.T) {
	attempt := func(known, cached int) lrstream.Attempt {
		return lrstream.Attempt{Placement: lrroute.Placement{KnownTokens: known}, CachedTokens: cached}
	}
	cases := []struct {
		name     string
		attempts []lrstream.Attempt
		want     int
	}{
		{"no attempt", nil, 0},
		{"new prompt", []lrstream.Attempt{attempt(0, 0)}, 0},
		{"computed again", []lrstream.Attempt{attempt(6000, 2000)}, 4000},
		{"more cached than known", []lrstream.Attempt{attempt(2000, 6000)}, 0},
		{"only the first attempt counts", []lrstream.Attempt{attempt(4000, 4000), attempt(6000, 0)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := wastedTokens(lrstream.Result{Attempts: c.attempts})
			if got != c.want {
				t.Fatalf("wasted tokens: got %d, want %d", got, c.want)
			}
		})
	}
}
