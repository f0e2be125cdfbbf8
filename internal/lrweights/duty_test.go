package lrweights

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrrollout"
)

const (
	testModel    = "m"
	testValidity = 1500 * time.Millisecond
	testLoadTime = 200 * time.Millisecond
)

// fakeEngine keeps the rules that engines keep: fences, preconditions, one order at a time.
type fakeEngine struct {
	version  int64
	accepted int64
	fence    uint64
	busyTill time.Time
	next     int64
	loads    int
}

// fakeEngines answers for several engines. Every second order loses its answer when lossy, and is carried out all the
// same, some of them late.
type fakeEngines struct {
	mutex   sync.Mutex
	engines map[string]*fakeEngine
	lossy   bool
	late    bool
	dead    map[string]bool
	orders  int
	broken  []string
}

func newFakeEngines(count int) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, dead: map[string]bool{}}
	for n := range count {
		f.engines[fmt.Sprint("e", n)] = &fakeEngine{version: 1}
	}
	return f
}

var errNoAnswer = errors.New("no answer")

func (f *fakeEngines) State(_ context.Context, server lrfleet.Server) (State, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.dead[server.ID] {
		return State{}, errNoAnswer
	}
	e := f.engines[server.ID]
	e.settle(time.Now())
	return State{Accepted: e.accepted, IsBusy: !e.busyTill.IsZero(), Versions: map[string]int64{testModel: e.version}}, nil
}

func (e *fakeEngine) settle(now time.Time) {
	if !e.busyTill.IsZero() && !now.Before(e.busyTill) {
		e.version, e.busyTill = e.next, time.Time{}
	}
}

func (f *fakeEngines) Order(ctx context.Context, server lrfleet.Server, order Order) (Result, error) {
	f.mutex.Lock()
	f.orders++
	lost := f.lossy && f.orders%2 == 1
	late := lost && f.late
	f.mutex.Unlock()
	if late {
		go func() {
			time.Sleep(3 * time.Second)
			f.carryOut(server.ID, order)
		}()
	}
	var result Result
	if !late {
		result = f.carryOut(server.ID, order)
	}
	if lost {
		<-ctx.Done()
		return "", errNoAnswer
	}
	return result, nil
}

func (f *fakeEngines) carryOut(id string, order Order) Result {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.engines[id]
	e.settle(time.Now())
	switch {
	case order.Fence < e.fence:
		return Fenced
	case order.Accepted != e.accepted || !e.busyTill.IsZero():
		return Conflict
	}
	e.fence = order.Fence
	if order.Version == e.version {
		return Holds
	}
	if order.Version < e.version {
		f.broken = append(f.broken, fmt.Sprintf("%s goes from version %d back to %d", id, e.version, order.Version))
	}
	e.accepted++
	e.loads++
	e.next, e.busyTill = order.Version, time.Now().Add(testLoadTime)
	return Begun
}

// rollout is one or more duties before fake engines.
type rollout struct {
	engines   *fakeEngines
	directory *lrfleet.Directory
	duties    []*Duty
}

func newRollout(engines *fakeEngines, duties int) *rollout {
	r := &rollout{engines: engines, directory: lrfleet.NewDirectory(zerolog.Nop())}
	listed := map[string]lrfleet.Server{}
	for id := range engines.engines {
		listed[id] = lrfleet.Server{ID: id, Service: "s", Versions: map[string]int64{testModel: 1}}
	}
	r.directory.SetServers(listed)
	store := lrplatform.NewMemory()
	for n := range duties {
		name := fmt.Sprint("edge-", n)
		r.duties = append(r.duties, NewDuty(Parts{
			Observer: silentObserver{},
			Instance: name, Keeper: lrlease.NewKeeper(store, "rollout", name, testValidity, time.Now), Engines: engines,
			Directory: r.directory, Balancer: lrbalance.New(lrbalance.Options{PrefillPerMilli: 85}),
			Options: lrrollout.Options{MinAtOnce: 2, Share: 0.34}, Tell: func(time.Time, lrfleet.WeightsNote) {},
			LeaseClock: time.Now, Log: zerolog.Nop(), Go: func(_ string, work func()) { go work() },
		}))
	}
	return r
}

// run lets the duties work for the duration.
func (r *rollout) run(duration time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	for _, d := range r.duties {
		go func() {
			for ctx.Err() == nil {
				_ = d.Keeper.Step(ctx)
				d.Step(ctx, time.Now())
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	<-ctx.Done()
	time.Sleep(changeTimeout)
}

func (r *rollout) atVersion(version int64) int {
	r.engines.mutex.Lock()
	defer r.engines.mutex.Unlock()
	count := 0
	for _, e := range r.engines.engines {
		e.settle(time.Now())
		if e.version == version {
			count++
		}
	}
	return count
}

// TestAllEnginesTakeNewWeights brings twelve engines to a new version within the time that callers allow, each once.
func TestAllEnginesTakeNewWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(12), 3)
		r.directory.SetWanted(time.Now(), testModel, 2)
		r.run(2500 * time.Millisecond)
		requireEqual(t, r.atVersion(2), 12)
		requireEqual(t, r.engines.orders, 12)
	})
}

// TestLostAndLateOrders loses the answers of half of the orders, which are carried out at once or seconds later. No
// engine loads a version twice or goes back.
func TestLostAndLateOrders(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRollout(newFakeEngines(6), 2)
				r.engines.lossy, r.engines.late = true, late
				for version := int64(2); version <= 5; version++ {
					r.directory.SetWanted(time.Now(), testModel, version)
					r.run(2 * time.Second)
				}
				r.run(4 * time.Second)
				requireEqual(t, r.atVersion(5), 6)
				requireEqual(t, len(r.engines.broken), 0)
				for _, e := range r.engines.engines {
					requireEqual(t, e.loads <= 4, true)
				}
			})
		})
	}
}

// TestDeadEnginesHoldNobodyUp leaves two dead engines aside while the others change.
func TestDeadEnginesHoldNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(12), 1)
		r.engines.dead["e0"], r.engines.dead["e1"] = true, true
		r.directory.SetWanted(time.Now(), testModel, 2)
		r.run(3 * time.Second)
		requireEqual(t, r.atVersion(2), 10)
		requireEqual(t, len(r.duties[0].Closing()), 0)
	})
}

// TestOnlyTheHolderGivesOrders lets a second duty take over when the first one stops.
func TestOnlyTheHolderGivesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(4), 2)
		first, second := r.duties[0], r.duties[1]
		requireEqual(t, first.Keeper.Step(t.Context()), nil)
		requireEqual(t, second.Keeper.Step(t.Context()), nil)
		requireEqual(t, first.IsHolder(time.Now()), true)
		requireEqual(t, second.IsHolder(time.Now()), false)
		r.directory.SetWanted(time.Now(), testModel, 2)
		r.duties = r.duties[1:]
		r.run(6 * time.Second)
		requireEqual(t, r.atVersion(2), 4)
		requireEqual(t, r.engines.engines["e0"].fence, 2)
	})
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// silentObserver counts nothing.
type silentObserver struct{}

func (silentObserver) Ordered(Result)    {}
func (silentObserver) LeaseChanged(bool) {}

// TestOrderIsHeldBackWithoutTheLease pauses the holder between the decision on an order and its sending for longer than the lease lasts.
func TestOrderIsHeldBackWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newRollout(newFakeEngines(1), 1).duties[0]
		requireEqual(t, d.Keeper.Step(t.Context()), nil)
		grant, held := d.Keeper.Held(time.Now())
		requireEqual(t, held, true)
		mayLeave := d.stillHeld(grant.Fence)
		requireEqual(t, mayLeave(), nil)
		time.Sleep(2 * testValidity)
		requireEqual(t, mayLeave(), errLeaseLost)
		requireEqual(t, d.Keeper.Step(t.Context()), nil)
		next, held := d.Keeper.Held(time.Now())
		requireEqual(t, held, true)
		requireEqual(t, next.Fence > grant.Fence, true)
		requireEqual(t, mayLeave(), errLeaseLost)
	})
}
