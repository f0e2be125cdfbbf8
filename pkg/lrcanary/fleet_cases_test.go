package lrcanary

import (
	"fmt"
	"testing"
	"time"
)

const duration = 12 * time.Second

// failing returns answers of which the given share fails, for the servers of the new release that the condition accepts.
func failing(share float64, isBad func(f *testFleet, server Server, route string) bool) answerOf {
	return func(f *testFleet, server Server, route string) (bool, time.Duration) {
		if server.Release != "v1" && isBad(f, server, route) {
			return f.random.Float64() < share, usualTime
		}
		return good(f, server, route)
	}
}

func always(*testFleet, Server, string) bool { return true }

func after(d time.Duration) func(*testFleet, Server, string) bool {
	return func(f *testFleet, _ Server, _ string) bool { return f.now.Sub(f.ordered) > d }
}

func slow(share float64) answerOf {
	return func(f *testFleet, server Server, route string) (bool, time.Duration) {
		if server.Release != "v1" && f.random.Float64() < share {
			return false, 6 * usualTime
		}
		return good(f, server, route)
	}
}

// badReleases are releases that must be rolled back.
func badReleases() map[string]answerOf {
	return map[string]answerOf{
		"at once":       failing(0.3, always),
		"few answers":   failing(0.08, always),
		"all":           failing(1, always),
		"later":         failing(0.4, after(5*time.Second)),
		"on one route":  failing(0.4, func(_ *testFleet, _ Server, route string) bool { return route == "long" }),
		"under load":    failing(0.5, func(f *testFleet, s Server, _ string) bool { return f.load[s.ID] >= 3 }),
		"slow":          slow(1),
		"slow at times": slow(0.4),
	}
}

// TestBadReleaseIsRolledBack guards against a bad release that gets more than its share of the requests, gets requests long after it has
// shown that it is bad, or is completed.
func TestBadReleaseIsRolledBack(t *testing.T) {
	for name, answer := range badReleases() {
		for _, instances := range []int{3, 20} {
			t.Run(fmt.Sprint(name, "/", instances), func(t *testing.T) {
				f := newTestFleet(uint64(instances), instances, answer)
				f.run(time.Second)
				f.order("v2", duration)
				f.run(duration + time.Second)
				f.checkBad(t)
				f.checkStopped(t)
			})
		}
	}
}

// goodReleases are releases that must be completed.
func goodReleases() map[string]answerOf {
	unhealthy := func(id string) answerOf {
		return func(f *testFleet, server Server, route string) (bool, time.Duration) {
			if server.ID == id {
				return f.random.Float64() < 0.7, usualTime
			}
			return good(f, server, route)
		}
	}
	answers := map[string]answerOf{
		"good": good,
		"all unhealthy": func(f *testFleet, _ Server, _ string) (bool, time.Duration) {
			return f.random.Float64() < 0.2, usualTime
		},
		"an old server unhealthy": unhealthy("old-3"),
		"empty caches": func(f *testFleet, server Server, _ string) (bool, time.Duration) {
			if server.Release == "v2" && f.now.Sub(f.ordered) < 3*time.Second {
				return false, 2 * usualTime
			}
			return false, usualTime
		},
	}
	for n := range 8 {
		answers[fmt.Sprint("new server ", n, " unhealthy")] = unhealthy(fmt.Sprint("new-", n))
	}
	return answers
}

// TestGoodReleaseIsCompleted guards against a good release that is rolled back or late, since a server is unhealthy, caches are empty or all
// servers fail alike, and against requests at old servers when they stop.
func TestGoodReleaseIsCompleted(t *testing.T) {
	for name, answer := range goodReleases() {
		for _, instances := range []int{3, 20} {
			t.Run(fmt.Sprint(name, "/", instances), func(t *testing.T) {
				f := newTestFleet(uint64(instances), instances, answer)
				f.run(time.Second)
				f.order("v2", duration)
				f.run(duration + 2*time.Second)
				f.checkGood(t)
			})
		}
	}
}

// TestLongAnswers guards against a schedule that fits short answers only, and against slow answers that are not found because they come late.
func TestLongAnswers(t *testing.T) {
	for _, usual := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond} {
		for _, share := range []float64{0, 0.3, 1} {
			t.Run(fmt.Sprint(usual, "/", share, " slow"), func(t *testing.T) {
				f := newTestFleet(31, 5, func(f *testFleet, server Server, _ string) (bool, time.Duration) {
					if server.Release == "v2" && f.random.Float64() < share {
						return false, 5 * usual
					}
					return false, usual
				})
				f.perSecond = 400
				f.order("v2", duration)
				f.run(duration + 2*time.Second)
				if share == 0 {
					f.checkGood(t)
				} else {
					f.checkExposure(t)
					requireEqual(t, f.entry.Decision(), RolledBack)
				}
			})
		}
	}
}

// TestSizesAndDurations guards against a schedule that fits one size only.
func TestSizesAndDurations(t *testing.T) {
	for _, perSecond := range []float64{5, 60, 3000} {
		for _, d := range []time.Duration{5 * time.Second, 40 * time.Second} {
			t.Run(fmt.Sprint(perSecond, " a second/", d), func(t *testing.T) {
				f := newTestFleet(7, 12, good)
				f.perSecond = perSecond
				f.order("v2", d)
				f.run(d + time.Second)
				f.checkGood(t)
				f = newTestFleet(7, 12, failing(0.5, always))
				f.perSecond = perSecond
				f.order("v2", d)
				f.run(d)
				f.checkExposure(t)
			})
		}
	}
	t.Run("420 instances", func(t *testing.T) {
		f := newTestFleet(7, 420, good)
		f.order("v2", duration)
		f.run(duration + time.Second)
		f.checkGood(t)
		f = newTestFleet(7, 420, failing(0.3, always))
		f.order("v2", duration)
		f.run(duration)
		f.checkBad(t)
	})
}

// TestRepeatedOrderIsSeenLate guards against an instance that learns of a repeated order only when it is running: it took that for the decided
// one, and told all others of the earlier decision.
func TestRepeatedOrderIsSeenLate(t *testing.T) {
	for _, state := range []State{Completed, RolledBack} {
		t.Run(string(state), func(t *testing.T) {
			f := newTestFleet(1, 1, good)
			b := f.boards[0]
			show := func(revision uint64, state State) {
				b.SetEntries(f.now, map[string]Entry{testService: {
					Name: testService, To: "v2", Duration: duration, Revision: revision, StoredState: state, StoredTo: "v2",
				}})
			}
			b.SetServers(map[string][]Server{testService: f.servers})
			show(5, state)
			show(9, Running)
			if got := b.Statuses(f.now)[0].Stage; got != Waiting {
				t.Errorf("the stage is %s, want %s", got, Waiting)
			}
		})
	}
}
