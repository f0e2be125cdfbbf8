package lrrollout

import (
	"fmt"
	"testing"
	"time"
)

const testDeadline = 20 * time.Second

// pacedOptions are the options of a deployment whose engines load slowly and whose deadline allows for that.
func pacedOptions() Options {
	return Options{MinAtOnce: 2, Share: 0.34, LateShare: 0.5, LateAfter: 2800 * time.Millisecond}.WithDeadline(testDeadline)
}

func requireAtOnce(t *testing.T, options Options, oldest time.Duration, conditions Conditions, want int) {
	t.Helper()
	engines := newTestEngines(make([]int64, 60)...)
	for n := range engines {
		engines[n].OutdatedFor = oldest
	}
	requireEqual(t, len(Next(options, conditions, engines, map[string]int64{"m": 1}, nil)), want)
}

// A third of the engines loaded weights at once, for 2.3 s each, while requests waited at the others, so that most requests were refused or
// late although the weights had 20 s.
func TestCrowdedRolloutTakesAsFewEnginesAsTheDeadlineNeeds(t *testing.T) {
	crowded := Conditions{UpdateTime: 2300 * time.Millisecond, Wait: time.Second}
	cases := []struct {
		name       string
		options    Options
		oldest     time.Duration
		conditions Conditions
		want       int
	}{
		{"requests wait", pacedOptions(), 0, crowded, 10},
		{"less time is left", pacedOptions(), 6 * time.Second, crowded, 18},
		{"no request waits", pacedOptions(), 0, Conditions{UpdateTime: crowded.UpdateTime}, 20},
		{"loads of unknown length", pacedOptions(), 0, Conditions{Wait: time.Second}, 20},
		{"no deadline", Options{MinAtOnce: 2, Share: 0.34}, 0, crowded, 20},
		{"the planned end has passed", pacedOptions(), 15 * time.Second, crowded, 30},
		{"a deadline that no pace can keep", Options{MinAtOnce: 2, Share: 0.34}.WithDeadline(time.Second), 0, crowded, 20},
		{"a negative deadline", Options{MinAtOnce: 2, Share: 0.34}.WithDeadline(-time.Second), 0, crowded, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { requireAtOnce(t, c.options, c.oldest, c.conditions, c.want) })
	}
}

// A paced rollout that ran into its deadline would leave engines without any version on which a request may begin.
func TestCrowdedRolloutEndsWithinItsDeadline(t *testing.T) {
	for _, total := range []int{3, 12, 60, 900} {
		for _, update := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(total, " engines, ", update), func(t *testing.T) {
				took := paceThrough(total, Conditions{UpdateTime: update, Wait: time.Second})
				requireEqual(t, took <= testDeadline, true)
			})
		}
	}
}

// paceThrough returns how long a rollout over the engines takes whose updates all last as long as the conditions say.
func paceThrough(total int, conditions Conditions) time.Duration {
	const step = 25 * time.Millisecond
	engines := newTestEngines(make([]int64, total)...)
	busy, ends := map[string]bool{}, map[string]time.Duration{}
	for now := time.Duration(0); ; now += step {
		outdated := 0
		for n := range engines {
			e := &engines[n]
			if busy[e.ID] && now >= ends[e.ID] {
				delete(busy, e.ID)
				e.Versions["m"], e.OutdatedFor = 1, 0
			}
			if e.Versions["m"] == 0 {
				e.OutdatedFor = now
				outdated++
			}
		}
		if outdated == 0 || now > 2*testDeadline {
			return now
		}
		for _, s := range Next(pacedOptions(), conditions, engines, map[string]int64{"m": 1}, busy) {
			busy[s.Engine], ends[s.Engine] = true, now+conditions.UpdateTime
		}
	}
}

// One load that a busy store of weights delays must not set the pace of all others.
func TestLoadTimeFollowsSamplesSlowly(t *testing.T) {
	l := LoadTime{}
	requireEqual(t, l.Mean(time.Second), time.Second)
	l = l.WithSample(2 * time.Second)
	requireEqual(t, l.Mean(time.Second), 2*time.Second)
	requireEqual(t, l.WithSample(12*time.Second).Mean(0), 4*time.Second)
}
