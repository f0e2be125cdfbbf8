package lrweights

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// fakeEngine follows the rules of real engines: fencing numbers, preconditions, one order at a time.
type fakeEngine struct {
	version   int64
	accepted  int64
	fence     uint64
	busyUntil time.Time
	next      int64
	loads     int
}

// fakeEngines simulates several engines. When lossy is set, the answer of every second order is lost. Such an order is still carried out: at
// once, or 3 s later when late is set.
type fakeEngines struct {
	mutex      sync.Mutex
	engines    map[string]*fakeEngine
	lossy      bool
	late       bool
	dead       map[string]bool
	orders     int
	downgrades []string
	// refused counts the orders that each engine refused under each fencing number.
	refused map[string]map[uint64]int
}

func newFakeEngines(count int) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, dead: map[string]bool{}, refused: map[string]map[uint64]int{}}
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
	return State{Accepted: e.accepted, IsBusy: !e.busyUntil.IsZero(), Versions: map[string]int64{testModel: e.version}}, nil
}

func (e *fakeEngine) settle(now time.Time) {
	if !e.busyUntil.IsZero() && !now.Before(e.busyUntil) {
		e.version, e.busyUntil = e.next, time.Time{}
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
		if f.refused[id] == nil {
			f.refused[id] = map[uint64]int{}
		}
		f.refused[id][order.Fence]++
		return Fenced
	case order.Accepted != e.accepted || !e.busyUntil.IsZero():
		return Conflict
	}
	e.fence = order.Fence
	if order.Version == e.version {
		return AlreadyLoaded
	}
	if order.Version < e.version {
		f.downgrades = append(f.downgrades, fmt.Sprintf("%s was downgraded from version %d to %d", id, e.version, order.Version))
	}
	e.accepted++
	e.loads++
	e.next, e.busyUntil = order.Version, time.Now().Add(testLoadTime)
	return Started
}

// rollout is one or more instances that update the same fake engines.
type rollout struct {
	engines   *fakeEngines
	directory *lrfleet.Directory
	updaters  []*Updater
}

func newRollout(engines *fakeEngines, updaters int) *rollout {
	r := &rollout{engines: engines, directory: lrfleet.NewDirectory(zerolog.Nop())}
	listed := map[string]lrfleet.Server{}
	for id := range engines.engines {
		listed[id] = lrfleet.Server{ID: id, Service: "s", Versions: map[string]int64{testModel: 1}}
	}
	r.directory.SetServers(listed)
	store := lrplatform.NewMemory()
	for n := range updaters {
		name := fmt.Sprint("edge-", n)
		r.updaters = append(r.updaters, NewUpdater(Dependencies{
			Observer: noopObserver{},
			Instance: name, Keeper: lrlease.NewKeeper(store, lrlease.Options{Name: "rollout", Instance: name, Validity: testValidity}, time.Now), Engines: engines,
			Directory: r.directory, Balancer: lrbalance.New(lrbalance.Options{PrefillPerMilli: 85}),
			Options: lrrollout.Options{MinAtOnce: 2, Share: 0.34}, Report: func(time.Time, lrfleet.WeightsUpdate) {},
			LeaseClock: time.Now, Log: zerolog.Nop(), Go: func(_ string, work func()) { go work() },
		}))
	}
	return r
}

// run lets the instances work for the duration, and then waits until the last update must have ended.
func (r *rollout) run(duration time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	for _, d := range r.updaters {
		go func() {
			for ctx.Err() == nil {
				_ = d.Keeper.Step(ctx)
				d.Step(ctx, time.Now())
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	<-ctx.Done()
	time.Sleep(minUpdateTimeout)
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

// TestAllEnginesLoadNewWeights updates twelve engines to a new version within the time that callers allow, with one order each.
func TestAllEnginesLoadNewWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(12), 3)
		r.directory.SetDesired(time.Now(), testModel, 2)
		r.run(2500 * time.Millisecond)
		requireEqual(t, r.atVersion(2), 12)
		requireEqual(t, r.engines.orders, 12)
	})
}

// TestLostAnswersAndLateOrders loses the answers of half of the orders, which are carried out at once or 3 s later. No engine may load a
// version twice or be downgraded by an order that was sent again or arrived late.
func TestLostAnswersAndLateOrders(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRollout(newFakeEngines(6), 2)
				r.engines.lossy, r.engines.late = true, late
				for version := int64(2); version <= 5; version++ {
					r.directory.SetDesired(time.Now(), testModel, version)
					r.run(2 * time.Second)
				}
				r.run(4 * time.Second)
				requireEqual(t, r.atVersion(5), 6)
				requireEqual(t, len(r.engines.downgrades), 0)
				for _, e := range r.engines.engines {
					requireEqual(t, e.loads <= 4, true)
				}
			})
		})
	}
}

// TestDeadEnginesDoNotDelayOthers checks that two engines that do not answer are skipped while the others are updated.
func TestDeadEnginesDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(12), 1)
		r.engines.dead["e0"], r.engines.dead["e1"] = true, true
		r.directory.SetDesired(time.Now(), testModel, 2)
		r.run(3 * time.Second)
		requireEqual(t, r.atVersion(2), 10)
		requireEqual(t, len(r.updaters[0].Closing()), 0)
	})
}

// TestOnlyTheLeaseHolderSendsOrders checks that a second instance takes over, with the next fencing number, when the first one stops.
func TestOnlyTheLeaseHolderSendsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(4), 2)
		first, second := r.updaters[0], r.updaters[1]
		requireEqual(t, first.Keeper.Step(t.Context()), nil)
		requireEqual(t, second.Keeper.Step(t.Context()), nil)
		requireEqual(t, first.IsHolder(time.Now()), true)
		requireEqual(t, second.IsHolder(time.Now()), false)
		r.directory.SetDesired(time.Now(), testModel, 2)
		r.updaters = r.updaters[1:]
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

// noopObserver ignores all calls.
type noopObserver struct{}

func (noopObserver) Ordered(Result)    {}
func (noopObserver) LeaseChanged(bool) {}

// TestOrderIsNotSentWithoutTheLease pauses the holder between deciding and sending an order, for longer than the lease is valid. The order
// must not be sent, not even when the instance has acquired the lease again under a new fencing number.
func TestOrderIsNotSentWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newRollout(newFakeEngines(1), 1).updaters[0]
		requireEqual(t, d.Keeper.Step(t.Context()), nil)
		grant, held := d.Keeper.Held(time.Now())
		requireEqual(t, held, true)
		check := d.leaseCheck(grant.Fence)
		requireEqual(t, check(), nil)
		time.Sleep(2 * testValidity)
		requireEqual(t, check(), errLeaseLost)
		requireEqual(t, d.Keeper.Step(t.Context()), nil)
		next, held := d.Keeper.Held(time.Now())
		requireEqual(t, held, true)
		requireEqual(t, next.Fence > grant.Fence, true)
		requireEqual(t, check(), errLeaseLost)
	})
}

// TestRefusedFencingNumberIsRaised guards against a holder whose number is too low for good, because the store has lost a lease with a higher
// one: it would order again and again under the same number, and the engines would keep their weights. An engine that refuses every number
// must not keep the others from their update.
func TestRefusedFencingNumberIsRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRollout(newFakeEngines(4), 2)
		r.engines.engines["e0"].fence, r.engines.engines["e1"].fence = 3, math.MaxUint64
		r.directory.SetDesired(time.Now(), testModel, 2)
		r.run(8 * time.Second)
		requireEqual(t, r.atVersion(2), 3)
		for _, numbers := range r.engines.refused {
			for _, count := range numbers {
				requireEqual(t, count, 1)
			}
		}
		requireEqual(t, len(r.engines.refused["e0"]), 2)
		// The first number is raised at once, and then once in the validity.
		requireEqual(t, len(r.engines.refused["e1"]) <= 2+int(8*time.Second/testValidity), true)
	})
}
