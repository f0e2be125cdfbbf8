package lrrelease

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

const validity = time.Second

// fakeStatuses is a store with one entry.
type fakeStatuses struct {
	mutex  sync.Mutex
	entry  lrcanary.Entry
	writes []lrcanary.State
	// isDown fails all calls, and beforeWrite runs between the read and the check of the revision.
	isDown      bool
	beforeWrite func()
}

func (f *fakeStatuses) Read(context.Context, string) (lrcanary.Entry, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isDown {
		return lrcanary.Entry{}, errors.New("down")
	}
	return f.entry, nil
}

func (f *fakeStatuses) WriteState(_ context.Context, entry lrcanary.Entry, state lrcanary.State) (uint64, error) {
	if f.beforeWrite != nil {
		f.beforeWrite()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if entry.Revision != f.entry.Revision {
		return 0, lrplatform.ErrConflict.New("changed")
	}
	f.entry.Revision++
	f.entry.StoredState, f.entry.StoredTo = state, entry.To
	f.writes = append(f.writes, state)
	return f.entry.Revision, nil
}

// world is an instance with its lease, a store and two servers of a service.
type world struct {
	statuses *fakeStatuses
	lease    lrplatform.Objects
	now      time.Time
	duty     *Duty
	keeper   *lrlease.Keeper
}

func newWorld(t *testing.T, lease lrplatform.Objects) *world {
	t.Helper()
	w := &world{now: time.Unix(1000, 0), lease: lease, statuses: &fakeStatuses{}}
	w.statuses.entry = lrcanary.Entry{Name: "s", To: "v2", Duration: 4 * time.Second, Revision: 1}
	directory := lrfleet.NewDirectory(zerolog.Nop())
	directory.SetServers(map[string]lrfleet.Server{
		"old": {ID: "old", Service: "s", Release: "v1"}, "new": {ID: "new", Service: "s", Release: "v2"},
	})
	w.keeper = lrlease.NewKeeper(lease, lrlease.Options{Name: "rollout", Instance: "i", Validity: validity}, func() time.Time { return w.now })
	w.duty = NewDuty(Dependencies{
		Board: lrcanary.NewBoard(lrcanary.Options{Random: func() float64 { return 0 }}), Directory: directory, Statuses: w.statuses,
		Keeper: w.keeper, LeaseClock: func() time.Time { return w.now }, Instances: func() int { return 1 },
		Stored: func(lrcanary.State, error) {}, Go: func(_ string, work func()) { work() }, Log: zerolog.Nop(),
	})
	return w
}

// run lets the time pass, with the lease renewed if it can be.
func (w *world) run(t *testing.T, duration time.Duration) {
	t.Helper()
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		requireEqual(t, w.keeper.Step(context.Background()), nil)
		w.duty.SetEntries(w.now, map[string]lrcanary.Entry{"s": w.statuses.entry})
		w.duty.Step(context.Background(), w.now)
	}
}

// TestIdleServiceIsMoved guards against an order that waits for requests which do not come, and against needless writes.
func TestIdleServiceIsMoved(t *testing.T) {
	w := newWorld(t, lrplatform.NewMemory())
	w.run(t, 4*time.Second)
	requireStates(t, w.statuses.writes, lrcanary.Running, lrcanary.Completed)
}

// TestOnlyTheHolderWrites guards against statuses of an instance without the lease, or of one that has lost it since it decided.
func TestOnlyTheHolderWrites(t *testing.T) {
	lease := lrplatform.NewMemory()
	other := newWorld(t, lease)
	requireEqual(t, other.keeper.Step(context.Background()), nil)
	w := newWorld(t, lease)
	w.run(t, validity/2)
	requireStates(t, w.statuses.writes)
	lost := newWorld(t, lrplatform.NewMemory())
	requireEqual(t, lost.keeper.Step(context.Background()), nil)
	_, err := lost.duty.write(context.Background(), lrcanary.Write{Entry: lost.statuses.entry, State: lrcanary.Running}, 7)
	requireEqual(t, err != nil, true)
	requireStates(t, lost.statuses.writes)
}

// TestDecisionsAreNotOverwritten guards against a second decision on an order, of a holder whose view is old.
func TestDecisionsAreNotOverwritten(t *testing.T) {
	w := newWorld(t, lrplatform.NewMemory())
	w.run(t, time.Second)
	order := w.statuses.entry
	w.duty.Board.Merge(w.now, []lrcanary.News{{Order: order.Order(), Stage: lrcanary.Rejected}})
	for name, change := range map[string]func(e *lrcanary.Entry){
		"decided":     func(e *lrcanary.Entry) { e.StoredState, e.StoredTo = lrcanary.Completed, "v2" },
		"other order": func(e *lrcanary.Entry) { e.To = "v3" },
	} {
		t.Run(name, func(t *testing.T) {
			w.statuses.entry = order
			change(&w.statuses.entry)
			_, err := w.duty.write(context.Background(), lrcanary.Write{Entry: order, State: lrcanary.RolledBack}, 1)
			requireEqual(t, ErrSuperseded.Has(err), true)
		})
	}
	t.Run("written since the read", func(t *testing.T) {
		w.statuses.entry = order
		w.statuses.beforeWrite = func() { w.statuses.entry.Revision++ }
		_, err := w.duty.write(context.Background(), lrcanary.Write{Entry: order, State: lrcanary.RolledBack}, 1)
		requireEqual(t, lrplatform.ErrConflict.Has(err), true)
	})
	t.Run("verdict since the decision", func(t *testing.T) {
		w.statuses.entry, w.statuses.beforeWrite = order, nil
		_, err := w.duty.write(context.Background(), lrcanary.Write{Entry: order, State: lrcanary.Completed}, 1)
		requireEqual(t, ErrSuperseded.Has(err), true)
	})
}

// TestNextHolderGoesOn guards against a roll-out that ends with its holder, and against a delayed write of that holder.
func TestNextHolderGoesOn(t *testing.T) {
	lease := lrplatform.NewMemory()
	first := newWorld(t, lease)
	first.run(t, time.Second)
	stale := first.statuses.entry
	next := newWorld(t, lease)
	next.statuses = first.statuses
	next.duty.Statuses = first.statuses
	next.now = first.now
	for range 60 {
		next.now = next.now.Add(50 * time.Millisecond)
		requireEqual(t, next.keeper.Step(context.Background()), nil)
	}
	next.duty.Board.Merge(next.now, first.duty.Board.News(first.now))
	next.run(t, 5*time.Second)
	requireStates(t, first.statuses.writes, lrcanary.Running, lrcanary.Running, lrcanary.Completed)
	_, err := first.statuses.WriteState(context.Background(), stale, lrcanary.RolledBack)
	requireEqual(t, lrplatform.ErrConflict.Has(err), true)
}

// TestStoreOutageDelaysTheStatus guards against a status that is given up after an outage of the store.
func TestStoreOutageDelaysTheStatus(t *testing.T) {
	w := newWorld(t, lrplatform.NewMemory())
	w.run(t, time.Second)
	w.statuses.isDown = true
	w.run(t, 3*time.Second)
	requireStates(t, w.statuses.writes, lrcanary.Running)
	w.statuses.isDown = false
	w.run(t, time.Second)
	requireStates(t, w.statuses.writes, lrcanary.Running, lrcanary.Completed)
}

// TestDecisionIsStoredAgain guards against a decision that the store has lost and that no holder stores again.
func TestDecisionIsStoredAgain(t *testing.T) {
	w := newWorld(t, lrplatform.NewMemory())
	w.run(t, time.Second)
	started := w.statuses.entry
	w.run(t, 3*time.Second)
	w.statuses.entry = started
	w.duty.Restored(w.now)
	w.run(t, time.Second)
	requireStates(t, w.statuses.writes, lrcanary.Running, lrcanary.Completed, lrcanary.Completed)
}

func requireStates(t *testing.T, got []lrcanary.State, want ...lrcanary.State) {
	t.Helper()
	requireEqual(t, len(got), len(want))
	for n := range want {
		requireEqual(t, got[n], want[n])
	}
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
