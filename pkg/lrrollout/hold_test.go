package lrrollout

import (
	"testing"
	"time"
)

// Rollouts began while bursts of requests waited at the engines: a third of the engines was out of use, all of them lost their caches, and
// each version that followed within seconds did so again.
func TestRolloutIsPutOffWhileCallersWait(t *testing.T) {
	const deadline = 10 * time.Second
	crowded, calm := Conditions{Wait: 200 * time.Millisecond}, Conditions{Wait: 10 * time.Millisecond}
	cases := []struct {
		name       string
		deadline   time.Duration
		conditions Conditions
		oldest     time.Duration
		versions   []int64
		want       int
	}{
		{"callers wait", deadline, crowded, time.Second, []int64{1, 1, 1}, 0},
		{"nobody waits", deadline, calm, time.Second, []int64{1, 1, 1}, 2},
		{"half of the deadline has passed", deadline, crowded, 5 * time.Second, []int64{1, 1, 1}, 2},
		{"the rollout has begun", deadline, crowded, time.Second, []int64{1, 1, 3}, 2},
		{"one of an earlier version has begun", deadline, crowded, time.Second, []int64{1, 1, 2}, 0},
		{"no deadline is known", 0, crowded, time.Second, []int64{1, 1, 1}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := newTestEngines(c.versions...)
			for n := range engines {
				engines[n].OutdatedFor = c.oldest
			}
			options := Options{MinAtOnce: 2, Share: 0.34, Deadline: c.deadline}
			requireEqual(t, len(Next(options, c.conditions, engines, map[string]int64{"m": 3}, nil)), c.want)
		})
	}
}
