package lrpause

import (
	"testing"
	"time"
)

func TestDetectorCountsPauses(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name  string
		steps []time.Duration
		want  uint64
	}{
		{"regular ticks", []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, 0},
		{"one gap", []time.Duration{time.Second, 10 * time.Second}, 1},
		{"two gaps", []time.Duration{10 * time.Second, 11 * time.Second, 20 * time.Second}, 2},
		{"time going back", []time.Duration{2 * time.Second, time.Second, 3 * time.Second}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			detector := NewDetector(start, 2*time.Second)
			var got uint64
			for _, s := range c.steps {
				got = detector.Epoch(start.Add(s))
			}
			if got != c.want {
				t.Fatalf("epoch: got %d, want %d", got, c.want)
			}
		})
	}
}
