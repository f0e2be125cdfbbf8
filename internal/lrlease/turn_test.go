package lrlease

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const (
	turnInterval  = 2 * validity
	turnStep      = 50 * time.Millisecond
	turnInstances = 4
	turnSeeds     = 100
	turnRun       = 4 * time.Minute
)

// turnFleet is a set of instances that contend for one lease. It checks that no two of them take turns within the turn interval.
type turnFleet struct {
	t         *testing.T
	store     *restorableStore
	instances []*turnInstance
	// heldAt is when each instance last held the lease, and lastHolder the one that did so last.
	heldAt     map[string]time.Time
	lastHolder string
	handOvers  int
}

// turnInstance is an instance that can be cut off from the store and restarted.
type turnInstance struct {
	name   string
	keeper *Keeper
	store  *cutStore
	isDown bool
}

// cutStore fails every call while it is cut off.
type cutStore struct {
	lrplatform.Objects
	isCut bool
}

func (s *cutStore) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	if s.isCut {
		return lrplatform.Object{}, lrplatform.ErrUnavailable.New("cut off")
	}
	return s.Objects.Get(ctx, kind, name)
}

func (s *cutStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	if s.isCut {
		return lrplatform.Object{}, lrplatform.ErrUnavailable.New("cut off")
	}
	return s.Objects.Update(ctx, object)
}

// testTurns runs the test with the time of a bubble and that many instances.
func testTurns(t *testing.T, count int, test func(f *turnFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &turnFleet{t: t, store: newRestorableStore(), heldAt: map[string]time.Time{}}
		f.store.era = 1
		for n := range count {
			i := &turnInstance{name: fmt.Sprint("router-", n), store: &cutStore{Objects: f.store}}
			f.instances = append(f.instances, i)
			f.start(i)
		}
		test(f)
	})
}

// start starts a new process of the instance, which knows nothing of the one before.
func (f *turnFleet) start(i *turnInstance) {
	options := testOptions(i.name)
	options.TurnInterval = turnInterval
	i.keeper, i.isDown = NewKeeper(i.store, options, time.Now), false
}

// run lets the instances step for the time, or until the condition holds if there is one.
func (f *turnFleet) run(duration time.Duration, until func() bool, instances ...*turnInstance) {
	f.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(turnStep) {
		for _, i := range instances {
			if i.isDown {
				continue
			}
			_ = i.keeper.Step(f.t.Context())
		}
		f.check()
		if until != nil && until() {
			return
		}
	}
	if until != nil {
		f.t.Fatal("the condition did not hold in time")
	}
}

// check records the holder, and checks its turn and that it is the only one.
func (f *turnFleet) check() {
	f.t.Helper()
	now, holders := time.Now(), 0
	for _, i := range f.instances {
		_, held := i.keeper.Held(now)
		if i.isDown || !held {
			continue
		}
		holders++
		if f.lastHolder != i.name {
			before, hasHeld := f.heldAt[i.name]
			if hasHeld && now.Sub(before) < turnInterval {
				f.t.Errorf("%s holds the lease again after %v, and %s has held it since", i.name, now.Sub(before), f.lastHolder)
			}
			f.handOvers++
		}
		f.heldAt[i.name], f.lastHolder = now, i.name
	}
	requireEqual(f.t, holders <= 1, true, "one holder at a time")
}

// holds returns the condition that the instance holds the lease.
func (f *turnFleet) holds(i *turnInstance) func() bool {
	return func() bool {
		_, held := i.keeper.Held(time.Now())
		return held
	}
}

// release hands the lease back and ends the process.
func (f *turnFleet) release(i *turnInstance) {
	requireEqual(f.t, i.keeper.Release(f.t.Context()), nil, "error")
	i.isDown = true
}

// TestTurnsAreApart guards against two instances that hold the lease by turns: each gives orders, and a receiver that checks no fencing
// numbers can't tell them from two holders at the same time. One loses the lease, and the next one hands it back at a planned stop.
func TestTurnsAreApart(t *testing.T) {
	t.Run("cut off from the store", func(t *testing.T) {
		testTurns(t, 2, func(f *turnFleet) {
			a, b := f.instances[0], f.instances[1]
			f.run(turnInterval, nil, a, b)
			a.store.isCut = true
			f.run(turnInterval, f.holds(b), a, b)
			a.store.isCut = false
			f.release(b)
			f.run(turnInterval+time.Second, f.holds(a), a)
		})
	})
	t.Run("new process", func(t *testing.T) {
		testTurns(t, 2, func(f *turnFleet) {
			a, b := f.instances[0], f.instances[1]
			f.run(turnInterval, f.holds(a), a)
			f.release(a)
			f.run(turnInterval, f.holds(b), b)
			f.start(a)
			f.release(b)
			f.run(turnInterval+time.Second, f.holds(a), a)
		})
	})
	t.Run("three instances and a new process", func(t *testing.T) {
		testTurns(t, 3, func(f *turnFleet) {
			a := f.instances[0]
			for _, i := range f.instances {
				f.run(turnInterval, f.holds(i), i)
				f.release(i)
			}
			f.start(a)
			f.run(turnInterval+time.Second, f.holds(a), a)
		})
	})
	t.Run("store back from an older copy", func(t *testing.T) {
		testTurns(t, 2, func(f *turnFleet) {
			a, b := f.instances[0], f.instances[1]
			f.run(time.Second, f.holds(b), b)
			copied := f.store.writesUntil(time.Now())
			f.release(b)
			f.run(turnInterval, f.holds(a), a)
			f.release(a)
			f.start(b)
			f.run(turnInterval+time.Second, f.holds(b), b)
			f.start(a)
			f.store.restore(copied)
			b.isDown = true
			f.run(2*turnInterval, f.holds(a), a)
		})
	})
	t.Run("lease of an earlier version of the program", func(t *testing.T) {
		testTurns(t, 2, func(f *turnFleet) {
			a, b := f.instances[0], f.instances[1]
			f.run(turnInterval, f.holds(a), a)
			f.release(a)
			f.run(turnInterval, f.holds(b), b)
			f.release(b)
			f.dropRecentHolders()
			f.start(a)
			f.run(turnInterval+time.Second, f.holds(a), a)
		})
	})
}

// dropRecentHolders writes the lease as a version of the program does that knows no recent holders.
func (f *turnFleet) dropRecentHolders() {
	object, err := f.store.Get(f.t.Context(), lrplatform.KindLease, leaseName)
	requireEqual(f.t, err, nil, "error")
	var fields map[string]any
	requireEqual(f.t, json.Unmarshal(object.Value, &fields), nil, "error")
	delete(fields, "recentHolders")
	value, err := json.Marshal(fields)
	requireEqual(f.t, err, nil, "error")
	_, err = f.store.Update(f.t.Context(), object.WithValue(value))
	requireEqual(f.t, err, nil, "error")
}

// TestHandOversStayQuick guards against a turn interval that delays instances which take no turns: engines would load newer weights late.
func TestHandOversStayQuick(t *testing.T) {
	t.Run("to another instance", func(t *testing.T) {
		testTurns(t, 2, func(f *turnFleet) {
			a, b := f.instances[0], f.instances[1]
			f.run(time.Second, f.holds(a), a, b)
			f.release(a)
			f.run(2*turnStep, f.holds(b), b)
		})
	})
	t.Run("to a new process of the only instance", func(t *testing.T) {
		testTurns(t, 1, func(f *turnFleet) {
			a := f.instances[0]
			f.run(time.Second, f.holds(a), a)
			f.release(a)
			f.start(a)
			f.run(2*turnStep, f.holds(a), a)
			f.start(a)
			f.run(validity+time.Second, f.holds(a), a)
		})
	})
	t.Run("back after the turn interval", func(t *testing.T) {
		testTurns(t, 2, func(f *turnFleet) {
			a, b := f.instances[0], f.instances[1]
			f.run(time.Second, f.holds(a), a)
			f.release(a)
			f.run(turnInterval+time.Second, nil, b)
			f.start(a)
			f.release(b)
			f.run(2*turnStep, f.holds(a), a)
		})
	})
}

// TestTurnsAreApartUnderFaults checks the same while instances are cut off, killed, stopped as planned and started again, and the store comes
// back from older copies.
func TestTurnsAreApartUnderFaults(t *testing.T) {
	handOvers := 0
	for seed := range uint64(turnSeeds) {
		testTurns(t, turnInstances, func(f *turnFleet) {
			random := rand.New(rand.NewPCG(seed, 0))
			for end := time.Now().Add(turnRun); time.Now().Before(end); {
				f.disturb(random)
				f.run(time.Duration(random.Int64N(int64(validity))), nil, f.instances...)
			}
			handOvers += f.handOvers
		})
	}
	t.Logf("%d hand-overs in %d runs", handOvers, turnSeeds)
	requireEqual(t, handOvers > 10*turnSeeds, true, "the lease changes hands")
}

// disturb disturbs one instance, more often the one that held the lease last, or the store.
func (f *turnFleet) disturb(random *rand.Rand) {
	i := f.instances[random.IntN(len(f.instances))]
	for _, other := range f.instances {
		if other.name == f.lastHolder && random.IntN(2) == 0 {
			i = other
		}
	}
	switch random.IntN(8) {
	case 0:
		i.store.isCut = true
	case 1:
		until := time.Now().Add(-time.Duration(random.Int64N(int64(turnInterval))))
		f.store.restore(f.store.writesUntil(until))
	case 2:
		i.isDown = true
	case 3, 4:
		_ = i.keeper.Release(f.t.Context())
		i.isDown = true
	default:
		for _, other := range f.instances {
			other.store.isCut = false
			if other.isDown {
				f.start(other)
			}
		}
	}
}
