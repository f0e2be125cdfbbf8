package lrgrant

import (
	"testing"
	"time"
)

func TestReadsStayWithinThePlatformsRate(t *testing.T) {
	// Two calls for each reading, 420 instances and 2000 reads a second leave 2.4 readings a second for each instance.
	const mostReads = 2.4 * 60
	cases := []struct {
		name           string
		joined, kicked bool
		jitter         float64
		least          int
	}{
		{"in the view", true, false, 1, 10},
		{"not in the view", false, true, 1, 10},
		{"not in the view, shortest jitter", false, true, 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			schedule := readSchedule{period: 3 * time.Second}
			reads := 0
			for now := time.Unix(1000, 0); now.Before(time.Unix(1060, 0)); now = now.Add(time.Millisecond) {
				if schedule.isDue(now, c.joined, c.kicked, c.jitter) {
					schedule.read(now, c.joined)
					reads++
				}
			}
			if reads > mostReads || reads < c.least {
				t.Errorf("%d readings in a minute, want %d to %g", reads, c.least, mostReads)
			}
		})
	}
}
