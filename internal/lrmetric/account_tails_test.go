package lrmetric

import (
	"fmt"
	"testing"
	"time"
)

func TestAccountTails(t *testing.T) {
	cases := []struct {
		name    string
		observe func(*AccountTails)
		account string
		worst   time.Duration
		median  time.Duration
	}{
		{"nothing seen", func(*AccountTails) {}, "", 0, 0},
		{"one slow account among three", func(a *AccountTails) {
			observeMany(a, "quick", 100, time.Millisecond)
			observeMany(a, "usual", 100, 4*time.Millisecond)
			observeMany(a, "slow", 100, 60*time.Millisecond)
		}, "slow", 64 * time.Millisecond, 4 * time.Millisecond},
		{"old observations fade", func(a *AccountTails) {
			observeMany(a, "once-slow", 100, time.Second)
			observeMany(a, "once-slow", 20*halvingCount, time.Millisecond)
		}, "once-slow", time.Millisecond, time.Millisecond},
		{"above the last bucket", func(a *AccountTails) {
			observeMany(a, "stuck", 1, 24*time.Hour)
		}, "stuck", firstBucket << (tailBuckets - 1), firstBucket << (tailBuckets - 1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tails := NewAccountTails()
			c.observe(tails)
			account, worst, median := tails.extremes()
			got := fmt.Sprint(account, " ", worst, " ", median)
			want := fmt.Sprint(c.account, " ", c.worst, " ", c.median)
			if got != want {
				t.Fatalf("extremes: got %s, want %s", got, want)
			}
		})
	}
}

func observeMany(a *AccountTails, account string, count int, firstToken time.Duration) {
	for range count {
		a.Observe(account, firstToken)
	}
}
