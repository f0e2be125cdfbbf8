package lrstate

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrpause"
)

func TestFreshness(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	// Each case first runs prepare and then calls Check at the time asked.
	cases := []struct {
		name    string
		bound   time.Duration
		prepare func(f *Freshness)
		asked   time.Duration
		refused bool
	}{
		{"no contact, no bound", 0, func(f *Freshness) { tick(f, time.Hour) }, time.Hour, false},
		{"no contact within the bound", time.Minute, func(f *Freshness) { tick(f, 50*time.Second) }, 50 * time.Second, false},
		{"no contact beyond the bound", time.Minute, func(f *Freshness) { tick(f, 70*time.Second) }, 70 * time.Second, true},
		{"contact renews the bound", time.Minute, func(f *Freshness) {
			tick(f, 70*time.Second)
			f.Contacted(at(60 * time.Second))
		}, 70 * time.Second, false},
		{"paused, unconfirmed", 0, func(*Freshness) {}, time.Hour, true},
		{"paused, then confirmed", 0, func(f *Freshness) {
			epoch, _ := f.Unconfirmed(at(time.Hour))
			f.Confirm(epoch)
		}, time.Hour, false},
		{"confirmed before the pause", 0, func(f *Freshness) {
			epoch, _ := f.Unconfirmed(at(time.Millisecond))
			f.Confirm(epoch)
		}, time.Hour, true},
		{"paused, no answer until the longest wait", 0, func(f *Freshness) {
			f.Unconfirmed(at(time.Hour))
			f.Unconfirmed(at(time.Hour + time.Second))
		}, time.Hour + maxConfirmWait, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFreshness(at(0), lrpause.NewDetector(at(0), time.Second), c.bound)
			c.prepare(f)
			err := f.Check(at(c.asked))
			if (err != nil) != c.refused {
				t.Fatalf("refused: %v, want %t", err, c.refused)
			}
		})
	}
}

// tick moves the detector to the given time in steps of a second, so that it finds no pause.
func tick(f *Freshness, until time.Duration) {
	for d := time.Duration(0); d <= until; d += time.Second {
		f.Unconfirmed(time.Unix(0, 0).Add(d))
	}
}
