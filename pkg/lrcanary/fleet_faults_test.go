package lrcanary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// stages are the times after the order at which faults begin: in the observation, in the steps after it, and when all traffic has moved.
func stages() []time.Duration {
	return []time.Duration{time.Second, 6 * time.Second, 8500 * time.Millisecond, 9800 * time.Millisecond}
}

// faults are faults that the deployment must survive at each of the stages.
func faults() map[string]func(f *testFleet) {
	return map[string]func(f *testFleet){
		"holder lost": func(f *testFleet) {
			f.dead[f.holder] = true
			f.holder = -1
			f.run(2 * time.Second)
			f.restart(0)
			f.holder, f.fence = 1, f.fence+1
		},
		"zone cut off": func(f *testFleet) {
			f.side = func(instance int) int { return instance % 3 / 2 }
			f.run(2 * time.Second)
			f.side = func(int) int { return 0 }
		},
		"store lost": func(f *testFleet) {
			f.isStoreDown = true
			f.run(2 * time.Second)
			f.isStoreDown = false
		},
		"member restarts": func(f *testFleet) { f.restart(2) },
		"all restart": func(f *testFleet) {
			for n := range f.boards {
				f.restart(n)
			}
			f.fence++
		},
		"member joins": func(f *testFleet) { f.boards = append(f.boards, f.newBoard()) },
	}
}

// playFault orders the release and lets the fault happen at the time.
func playFault(seed uint64, answer answerOf, at time.Duration, inject func(f *testFleet)) *testFleet {
	f := newTestFleet(seed, 6, answer)
	f.run(time.Second)
	f.order("v2", duration)
	f.run(at)
	inject(f)
	f.run(duration - f.now.Sub(f.ordered) + 6*time.Second)
	return f
}

// TestFaultsAtEachStage guards against a roll-out that never ends, a bad release that gets too much, and requests at servers that have stopped,
// when a part fails at some stage. A good release may end some seconds late after that.
func TestFaultsAtEachStage(t *testing.T) {
	for name, inject := range faults() {
		for _, at := range stages() {
			t.Run(fmt.Sprint(name, " at ", at, "/good"), func(t *testing.T) {
				f := playFault(3, good, at, inject)
				f.checkStopped(t)
				if f.entry.Decision() != Completed {
					t.Errorf("the state is %q, want %q; %+v", f.entry.Decision(), Completed, f.boards[1].Statuses(f.now))
				}
				t.Logf("completed after %s", f.decidedAt.Sub(f.ordered))
			})
		}
		t.Run(name+"/bad", func(t *testing.T) {
			f := playFault(5, failing(0.3, after(900*time.Millisecond)), time.Second, inject)
			f.checkBad(t)
			f.checkStopped(t)
		})
	}
}

// TestIsolatedInstancesStopInTime guards against instances that send to a bad release because they are cut off before its verdict.
func TestIsolatedInstancesStopInTime(t *testing.T) {
	f := newTestFleet(9, 6, failing(0.3, after(2*time.Second)))
	f.run(time.Second)
	f.order("v2", duration)
	f.run(2 * time.Second)
	f.side = func(instance int) int { return instance % 3 / 2 }
	f.run(duration)
	f.checkBad(t)
}

// TestWithdrawnOrderLeavesNoTraffic guards against traffic to a release whose order was taken back or replaced, and against refusals.
func TestWithdrawnOrderLeavesNoTraffic(t *testing.T) {
	for _, at := range stages() {
		t.Run(at.String(), func(t *testing.T) {
			f := newTestFleet(11, 6, good)
			f.order("v2", duration)
			f.run(at)
			f.hasSpec = false
			f.run(tick)
			sent := f.toNew
			f.run(2 * time.Second)
			requireEqual(t, f.toNew-sent, 0)
			f.checkStopped(t)
			f.servers = append(f.servers[:0:0], Server{ID: "new-0", Release: "v2"})
			f.run(time.Second)
			requireEqual(t, f.toNew > sent, true)
		})
	}
}

// TestSecondOrder guards against traffic to the release of an order that was replaced before it was decided, and a status of the earlier order
// that counts for the later one.
func TestSecondOrder(t *testing.T) {
	f := newTestFleet(13, 6, good)
	f.order("v2", duration)
	f.run(6 * time.Second)
	for n := range 8 {
		f.servers = append(f.servers, Server{ID: fmt.Sprint("third-", n), Release: "v3"})
	}
	f.order("v3", duration)
	load := map[string]bool{}
	for range int(duration / tick) {
		f.run(tick)
		for _, r := range f.running {
			if r.assignment.order == f.entry.Order() {
				load[r.server.Release] = true
			}
		}
	}
	requireEqual(t, load["v2"], false)
	f.checkGood(t)
}

// TestEntriesWithoutServers guards against a change of the traffic by an order that nobody can carry out, and against a status for it.
func TestEntriesWithoutServers(t *testing.T) {
	f := newTestFleet(17, 3, good)
	f.order("v9", duration)
	f.run(duration)
	f.checkStopped(t)
	requireEqual(t, f.entry.StoredState, Undecided)
	requireEqual(t, f.boards[0].Assign(f.now, "other service", true).Filter == nil, true)
}

// TestServersWithoutEntry guards against a change of the traffic where there is no order.
func TestServersWithoutEntry(t *testing.T) {
	f := newTestFleet(19, 3, good)
	f.run(2 * time.Second)
	requireEqual(t, f.boards[0].Assign(f.now, testService, true).Filter == nil, true)
	requireEqual(t, len(f.boards[0].News(f.now)), 0)
}

// TestOldServersDisappear guards against a bad release that gets all requests because the old servers are gone.
func TestOldServersDisappear(t *testing.T) {
	f := newTestFleet(23, 3, failing(0.3, after(4*time.Second)))
	f.order("v2", duration)
	f.run(3 * time.Second)
	f.servers = f.servers[:0:0]
	for n := range 8 {
		f.servers = append(f.servers, Server{ID: fmt.Sprint("new-", n), Release: "v2"})
	}
	f.run(duration)
	f.checkBad(t)
}

// TestNewInstanceReadsTheStatus guards against an instance that has just started and sends to the old servers after the completion, or to the
// new ones after the roll-back.
func TestNewInstanceReadsTheStatus(t *testing.T) {
	for state, want := range map[State]string{Completed: "v2", RolledBack: "v1"} {
		f := newTestFleet(29, 1, good)
		f.order("v2", duration)
		f.entry.StoredState, f.entry.StoredTo = state, "v2"
		f.holder = -1
		f.step(0, f.boards[0])
		for range 50 {
			server, ok := f.choose(f.boards[0].Assign(f.now, testService, true))
			requireEqual(t, ok, true)
			requireEqual(t, server.Release, want)
		}
	}
}

// TestExposureHoldsForRandomFaults is the property test of the exposure: whatever fails, and whenever a release turns bad in the first half of
// its duration, it gets no more than its share. A release of whose answers fewer than a fifth are failures may not show it in time.
func TestExposureHoldsForRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		badAt := time.Duration(random.Int64N(int64(duration / 2)))
		f := newTestFleet(seed, 3+random.IntN(12), failing(0.2+0.8*random.Float64(), after(badAt)))
		f.perSecond = 20 + 1000*random.Float64()
		f.gossipDelay = 200*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		f.run(time.Second)
		f.order("v2", duration)
		all := faults()
		names := []string{"holder lost", "zone cut off", "store lost", "member restarts", "all restart", "member joins"}
		for f.now.Sub(f.ordered) < duration {
			f.run(time.Duration(random.Int64N(int64(3 * time.Second))))
			all[names[random.IntN(len(names))]](f)
		}
		if allowed := exposure*float64(f.requests) + slack; float64(f.toNew) > allowed {
			t.Errorf("seed %d: %d of %d requests went to the bad release, %.0f are allowed; %+v", seed, f.toNew, f.requests, allowed, f.boards[1].Statuses(f.now))
		}
		f.checkStopped(t)
	}
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestShareHoldsWithoutMessages guards against a share that depends on what instances tell one another, on their number, or on restarts: until
// the traffic moves, an undetected bad release gets no more than its share.
func TestShareHoldsWithoutMessages(t *testing.T) {
	for _, instances := range []int{3, 85, 420} {
		for seed := range uint64(5) {
			random := rand.New(rand.NewPCG(seed, 11))
			order := Entry{Name: testService, To: "v2", Duration: duration, Revision: 1}
			start := time.Unix(1000, 0)
			newBoard := func() *Board {
				b := NewBoard(Options{ExposureShare: exposure, Random: random.Float64})
				b.SetServers(map[string][]Server{testService: {{ID: "old", Release: "v1"}, {ID: "new", Release: "v2"}}})
				b.SetEntries(start, map[string]Entry{testService: order})
				b.Merge(start, []News{{Order: order.Order(), Stage: Observing, HasHolder: true}})
				return b
			}
			boards := make([]*Board, instances)
			for n := range boards {
				boards[n] = newBoard()
			}
			toNew := 0
			for sent := 1; sent <= 8000; sent++ {
				n := random.IntN(instances)
				if random.IntN(20) == 0 {
					boards[n] = newBoard()
				}
				if boards[n].Assign(start, testService, true).IsNew {
					toNew++
				}
				if allowed := exposure*float64(sent) + slack; float64(toNew) > allowed {
					t.Fatalf("%d instances, seed %d: %d of %d, %.0f are allowed", instances, seed, toNew, sent, allowed)
				}
			}
			if toNew < 400 {
				t.Errorf("%d instances, seed %d: only %d of 8000", instances, seed, toNew)
			}
		}
	}
}
