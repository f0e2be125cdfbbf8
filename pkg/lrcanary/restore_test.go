package lrcanary

import (
	"testing"
	"time"
)

// restore sets the store back to the entry, or to none. The instances learn of it one after another.
func (f *testFleet) restore(entry Entry) {
	f.entry, f.hasSpec = entry, entry.To != ""
	for _, b := range f.boards {
		b.Restored(f.now)
		f.run(tick)
	}
}

// playDecided orders the release and lets the time pass until it is decided. It returns what the store held after the order, and while it was
// running.
func playDecided(t *testing.T, answer answerOf) (f *testFleet, ordered, started Entry) {
	t.Helper()
	f = newTestFleet(7, 4, answer)
	f.run(time.Second)
	f.order("v2", duration)
	ordered = f.entry
	f.run(time.Second)
	started = f.entry
	f.run(duration)
	requireState(t, started, Running)
	f.requests, f.toNew, f.late = 0, 0, 0
	return f, ordered, started
}

func requireState(t *testing.T, entry Entry, want State) {
	t.Helper()
	if got := entry.Decision(); got != want {
		t.Fatalf("the state of %q is %q, want %q", entry.To, got, want)
	}
}

// TestDecisionOutlivesARestore guards against a decision that an older copy of the store takes back: a release that was rolled back would get
// requests again, and one that was completed would send them to servers that have stopped. What was stored is stored again.
func TestDecisionOutlivesARestore(t *testing.T) {
	decisions := map[State]answerOf{RolledBack: failing(0.3, always), Completed: good}
	copies := map[string]func(f *testFleet, ordered, started Entry){
		"running":   func(f *testFleet, _, started Entry) { f.restore(started) },
		"undecided": func(f *testFleet, ordered, _ Entry) { f.restore(ordered) },
		"twice": func(f *testFleet, ordered, started Entry) {
			f.restore(started)
			f.run(200 * time.Millisecond)
			f.restore(ordered)
		},
		"no order, written again": func(f *testFleet, ordered, _ Entry) {
			f.restore(Entry{})
			f.run(2 * time.Second)
			f.entry, f.hasSpec = ordered, true
		},
		"earlier order, then this one again": func(f *testFleet, ordered, _ Entry) {
			f.restore(Entry{Name: testService, To: "v1", Duration: duration, Revision: ordered.Revision - 1, StoredTo: "v1", StoredState: Completed})
			f.run(2 * time.Second)
			f.entry = ordered
		},
	}
	for state, answer := range decisions {
		for name, restore := range copies {
			t.Run(string(state)+"/"+name, func(t *testing.T) {
				f, ordered, started := playDecided(t, answer)
				requireState(t, f.entry, state)
				restore(f, ordered, started)
				f.run(time.Second)
				requireState(t, f.entry, state)
				f.requests, f.toNew = 0, 0
				f.run(time.Second)
				if wrong := map[State]int{RolledBack: f.toNew, Completed: f.requests - f.toNew}[state]; wrong > 0 || f.requests == 0 || f.refused > 0 {
					t.Errorf("%d of %d requests went to the wrong release, %d were refused", wrong, f.requests, f.refused)
				}
			})
		}
		t.Run(string(state)+"/new order after that", func(t *testing.T) {
			f, _, started := playDecided(t, answer)
			f.restore(started)
			f.run(time.Second)
			requireState(t, f.entry, state)
			f.answer = good
			f.order("v2", duration)
			f.entry.StoredState, f.entry.StoredTo = Undecided, ""
			f.run(time.Second)
			requireState(t, f.entry, Running)
		})
	}
}

// TestStageOutlivesARestore guards against a roll-out that begins anew, or never ends, because the store has lost what was stored while it
// went on.
func TestStageOutlivesARestore(t *testing.T) {
	for _, at := range stages() {
		t.Run(at.String(), func(t *testing.T) {
			f := newTestFleet(9, 4, good)
			f.run(time.Second)
			f.order("v2", duration)
			ordered := f.entry
			f.run(at)
			before := f.boards[1].Statuses(f.now)[0]
			f.restore(ordered)
			f.run(200 * time.Millisecond)
			after := f.boards[1].Statuses(f.now)[0]
			if after.Stage < before.Stage || after.Age < before.Age {
				t.Errorf("the stage is %s after %s, it was %s after %s", after.Stage, after.Age, before.Stage, before.Age)
			}
			requireState(t, f.entry, Running)
			f.run(duration + time.Second - at)
			f.checkGood(t)
		})
	}
}

// TestLateConfirmationAfterARestore guards against the confirmation of a write from before a restore that hides the entries after it, because
// its revision is higher, or that counts as stored although the store has lost it.
func TestLateConfirmationAfterARestore(t *testing.T) {
	for _, state := range []State{Running, Completed} {
		t.Run(string(state), func(t *testing.T) {
			f := newTestFleet(9, 1, good)
			f.order("v2", duration)
			f.run(duration / 2)
			b := f.boards[0]
			late := Write{Entry: f.entry, State: state}
			b.Restored(f.now)
			b.Stored(f.now, late, f.fence, 1000)
			f.entry.StoredState, f.entry.StoredTo, f.entry.Revision = Undecided, "", 1
			b.SetEntries(f.now, map[string]Entry{testService: f.entry})
			writes := b.Drive(f.now, Holder{Fence: f.fence, Instances: 1})
			if len(writes) != 1 || writes[0].State != state {
				t.Fatalf("to store: %+v, want %s", writes, state)
			}
			f.entry.StoredState, f.entry.StoredTo, f.entry.Revision = RolledBack, "v2", 2
			b.SetEntries(f.now, map[string]Entry{testService: f.entry})
			if !b.Statuses(f.now)[0].IsDecided {
				t.Error("the decision that is stored was not seen")
			}
		})
	}
}

// TestWithdrawnOrderOfACopy guards against an order that the operator has withdrawn and that an older copy revives for good: once it is removed
// again, nothing is sent to its release, and a release that was rolled back gets nothing meanwhile.
func TestWithdrawnOrderOfACopy(t *testing.T) {
	f, _, started := playDecided(t, failing(0.3, always))
	f.hasSpec = false
	f.run(time.Second)
	f.restore(started)
	f.run(time.Second)
	f.hasSpec = false
	f.run(lostTime + time.Second)
	if f.toNew > 0 {
		t.Errorf("%d requests went to the release", f.toNew)
	}
	f.answer = good
	f.order("v2", duration)
	f.entry.StoredState, f.entry.StoredTo = Undecided, ""
	f.run(time.Second)
	requireState(t, f.entry, Running)
}
