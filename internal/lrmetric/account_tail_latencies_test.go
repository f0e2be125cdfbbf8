package lrmetric

import (
	"fmt"
	"testing"
	"time"
)

func TestAccountTailLatencies(t *testing.T) {
	cases := []struct {
		name    string
		observe func(*AccountTailLatencies)
		account string
		worst   time.Duration
		median  time.Duration
	}{
		{"no observations", func(*AccountTailLatencies) {}, "", 0, 0},
		{"one slow account among three", func(a *AccountTailLatencies) {
			observeMany(a, "quick", 100, time.Millisecond)
			observeMany(a, "usual", 100, 4*time.Millisecond)
			observeMany(a, "slow", 100, 60*time.Millisecond)
		}, "slow", 64 * time.Millisecond, 4 * time.Millisecond},
		{"old observations decay", func(a *AccountTailLatencies) {
			observeMany(a, "once-slow", 100, time.Second)
			observeMany(a, "once-slow", 20*decayCount, time.Millisecond)
		}, "once-slow", time.Millisecond, time.Millisecond},
		{"above the last bucket", func(a *AccountTailLatencies) {
			observeMany(a, "stuck", 1, 24*time.Hour)
		}, "stuck", firstBucketBound << (histogramBuckets - 1), firstBucketBound << (histogramBuckets - 1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			latencies := NewAccountTailLatencies()
			c.observe(latencies)
			account, worst, median := latencies.extremes()
			got := fmt.Sprint(account, " ", worst, " ", median)
			want := fmt.Sprint(c.account, " ", c.worst, " ", c.median)
			if got != want {
				t.Fatalf("extremes: got %s, want %s", got, want)
			}
		})
	}
}

func observeMany(a *AccountTailLatencies, account string, count int, firstToken time.Duration) {
	for range count {
		a.Observe(account, firstToken)
	}
}
