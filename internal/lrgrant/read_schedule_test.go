package lrgrant

import (
	"testing"
	"time"
)

func TestReadsStayWithinPlatformRate(t *testing.T) {
	// With two calls for each read, 420 instances and a limit of 2000 calls per second, each instance may read 2.4 times per second.
	const maxReads = 2.4 * 60
	cases := []struct {
		name     string
		lacking  bool
		jitter   float64
		minReads int
	}{
		{"lacking nothing", false, 1, 10},
		{"lacking something", true, 1, 10},
		{"lacking something, shortest jitter", true, 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			schedule := readSchedule{period: 3 * time.Second}
			reads := 0
			for now := time.Unix(1000, 0); now.Before(time.Unix(1060, 0)); now = now.Add(time.Millisecond) {
				if schedule.isDue(now, c.lacking, c.jitter) {
					schedule.recordRead(now, c.lacking)
					reads++
				}
			}
			if reads > maxReads || reads < c.minReads {
				t.Errorf("%d reads in a minute, want %d to %g", reads, c.minReads, maxReads)
			}
		})
	}
}
