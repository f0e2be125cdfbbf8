package lrgrant

import (
	"testing"
	"time"
)

func TestReadsStayWithinThePlatformsRate(t *testing.T) {
	// Two calls for each reading, 420 instances and 2000 reads a second leave 2.4 readings a second for each instance.
	const mostReads = 2.4 * 60
	cases := []struct {
		name    string
		lacking bool
		jitter  float64
		least   int
	}{
		{"all is well", false, 1, 10},
		{"lacking something", true, 1, 10},
		{"lacking something, shortest jitter", true, 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			schedule := readSchedule{period: 3 * time.Second}
			reads := 0
			for now := time.Unix(1000, 0); now.Before(time.Unix(1060, 0)); now = now.Add(time.Millisecond) {
				if schedule.isDue(now, c.lacking, c.jitter) {
					schedule.read(now, c.lacking)
					reads++
				}
			}
			if reads > mostReads || reads < c.least {
				t.Errorf("%d readings in a minute, want %d to %g", reads, c.least, mostReads)
			}
		})
	}
}
