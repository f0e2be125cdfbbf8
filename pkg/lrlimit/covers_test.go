package lrlimit

import (
	"testing"
	"time"
)

func TestCoversCountsTokensOfOtherInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Limits{Rate: 1, Burst: 100}
	home := NewHome(now, limits, time.Second)
	now = now.Add(100 * time.Second)
	cases := []struct {
		name   string
		others float64
		tokens float64
		want   bool
	}{
		{"enough is held elsewhere", 80, 90, true},
		{"the burst is below the request", 80, 110, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := home.Exchange(now, limits, Report{Session: "other", Sequence: uint64(now.UnixNano()), Need: c.others})
			requireNil(t, err)
			account := NewAccount("instance", "zone-a", now)
			holding := account.Holding("zone-a", Member{Name: "home"})
			report := holding.Report(now, c.tokens, c.tokens)
			answer, err := home.Exchange(now, limits, report)
			requireNil(t, err)
			holding.Accept(now, now, report.Sequence, answer)
			if account.Covers(now, c.tokens) != c.want {
				t.Fatalf("covers %g: got %t, want %t", c.tokens, !c.want, c.want)
			}
		})
		now = now.Add(time.Hour)
	}
}

func requireNil(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
