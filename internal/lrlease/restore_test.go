package lrlease

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// restorableStore is a store that can be set back to an earlier state. It then gives out the later versions again.
type restorableStore struct {
	*lrplatform.Memory
	mutex sync.Mutex
	// writes are the writes that took effect, in their order.
	writes []func(m *lrplatform.Memory)
	// times are when they did.
	times []time.Time
	era   uint64
	// namesNoEra is set for a store whose objects don't say in which era they are.
	namesNoEra bool
}

func newRestorableStore() *restorableStore { return &restorableStore{Memory: lrplatform.NewMemory()} }

// restore sets the store back to its first writes.
func (s *restorableStore) restore(writes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Memory, s.writes, s.times = lrplatform.NewMemory(), s.writes[:writes], s.times[:writes]
	for _, write := range s.writes {
		write(s.Memory)
	}
	if !s.namesNoEra {
		s.era++
	}
}

// writesUntil returns how many writes took effect until the time.
func (s *restorableStore) writesUntil(end time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for count < len(s.times) && !s.times[count].After(end) {
		count++
	}
	return count
}

func (s *restorableStore) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, err := s.Memory.Get(ctx, kind, name)
	object.Era = s.era
	return object, err
}

func (s *restorableStore) Create(ctx context.Context, kind, name string, value []byte) (lrplatform.Object, error) {
	return s.write(func(m *lrplatform.Memory) (lrplatform.Object, error) { return m.Create(ctx, kind, name, value) })
}

func (s *restorableStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	return s.write(func(m *lrplatform.Memory) (lrplatform.Object, error) { return m.Update(ctx, object) })
}

func (s *restorableStore) write(write func(m *lrplatform.Memory) (lrplatform.Object, error)) (lrplatform.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, err := write(s.Memory)
	if err == nil {
		s.writes = append(s.writes, func(m *lrplatform.Memory) { _, _ = write(m) })
		s.times = append(s.times, time.Now())
	}
	object.Era = s.era
	return object, err
}

// restoredLease is a lease in a store that is set back, and two instances that contend for it.
type restoredLease struct {
	t             *testing.T
	store         *restorableStore
	first, second *Keeper
}

// testRestore runs the test with the time of a bubble.
func testRestore(t *testing.T, test func(r *restoredLease)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newRestorableStore()
		test(&restoredLease{
			t: t, store: store, first: NewKeeper(store, testOptions("router-1"), time.Now),
			second: NewKeeper(store, testOptions("router-2"), time.Now),
		})
	})
}

// step lets both instances step for the time, and checks that never both hold.
func (r *restoredLease) step(duration time.Duration, keepers ...*Keeper) {
	r.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, k := range keepers {
			_ = k.Step(r.t.Context())
			requireEqual(r.t, r.holds(r.first) && r.holds(r.second), false, "both hold")
		}
	}
}

func (r *restoredLease) holds(k *Keeper) bool {
	_, held := k.Held(time.Now())
	return held
}

// TestVersionsGivenOutAgain guards against an instance that takes another lease for the one that it has seen before, because a restored
// store has given out its version again, and acquires it while its holder is active.
func TestVersionsGivenOutAgain(t *testing.T) {
	for name, hasNoEra := range map[string]bool{"era named": false, "no era": true} {
		t.Run(name, func(t *testing.T) {
			testRestore(t, func(r *restoredLease) {
				r.store.namesNoEra = hasNoEra
				r.step(100*time.Millisecond, r.first, r.second)
				seen := r.store.writesUntil(time.Now())
				time.Sleep(validity)
				r.store.restore(seen - 1)
				third := NewKeeper(r.store, testOptions("router-3"), time.Now)
				requireEqual(t, third.Step(t.Context()), nil, "error")
				requireEqual(t, r.holds(third), true, "the third instance holds")
				time.Sleep(validity / 2)
				requireEqual(t, r.second.Step(t.Context()), nil, "error")
				requireEqual(t, r.holds(r.second), false, "the second instance holds")
			})
		})
	}
}

// TestLeaseOfACopyIsNotLapsed guards against an instance that acquires a lease at once after a restore, because it has seen the restored
// object before, or because there is none: its holder has written it since, which the store has lost.
func TestLeaseOfACopyIsNotLapsed(t *testing.T) {
	for name, copied := range map[string]int{"older": 1, "missing": 0} {
		t.Run(name, func(t *testing.T) {
			testRestore(t, func(r *restoredLease) {
				r.step(100*time.Millisecond, r.first, r.second)
				r.step(validity+time.Second, r.first)
				r.store.restore(copied)
				r.step(validity-time.Second, r.second)
				requireEqual(t, r.holds(r.second), false, "the second instance holds")
				r.step(2*time.Second, r.second)
				requireEqual(t, r.holds(r.second), true, "the second instance holds")
			})
		})
	}
}

// TestHolderLosesARestoredLease guards against a holder that goes on until its validity ends although the store has lost its lease, and
// against one that counts a renewal whose condition holds by accident: the version belongs to the lease of another instance now.
func TestHolderLosesARestoredLease(t *testing.T) {
	t.Run("missing", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.step(validity, r.first)
			r.store.restore(0)
			r.requireLost(r.first)
		})
	})
	t.Run("older", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.step(2*validity, r.first)
			r.store.restore(1)
			r.requireLost(r.first)
		})
	})
	t.Run("of another instance, no era", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.store.namesNoEra = true
			r.step(validity, r.first)
			r.store.restore(0)
			r.step(200*time.Millisecond, NewKeeper(r.store, testOptions("router-3"), time.Now))
			r.requireLost(r.first)
		})
	})
	t.Run("version given out again", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.step(100*time.Millisecond, r.first)
			time.Sleep(validity / 2)
			r.store.restore(0)
			third := NewKeeper(r.store, testOptions("router-3"), time.Now)
			requireEqual(t, third.Step(t.Context()), nil, "error")
			r.requireLost(r.first)
			r.requireLost(third)
			r.step(validity-validity/renewDivisor-time.Second, r.first)
			requireEqual(t, r.holds(r.first), false, "the first instance holds")
		})
	})
	t.Run("late reply", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.step(100*time.Millisecond, r.first)
			time.Sleep(validity / 2)
			store := &replyLossStore{restorableStore: r.store, after: func() { r.store.restore(2) }}
			r.first.store = store
			r.requireLost(r.first)
		})
	})
}

// replyLossStore loses the reply to each write, and then does something else.
type replyLossStore struct {
	*restorableStore
	after func()
}

func (s *replyLossStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	_, err := s.restorableStore.Update(ctx, object)
	s.after()
	return lrplatform.Object{}, errors.Join(err, lrplatform.ErrUnknown.New("the reply was lost"))
}

// requireLost steps the keeper once, as a holder whose renewal is due, and checks that it holds no more.
func (r *restoredLease) requireLost(k *Keeper) {
	r.t.Helper()
	requireEqual(r.t, r.holds(k), true, "it held")
	time.Sleep(max(0, validity/renewDivisor-time.Since(k.validUntil.Add(-validity))+time.Millisecond))
	_ = k.Step(r.t.Context())
	requireEqual(r.t, r.holds(k), false, "it holds")
}

// TestRenewalInDoubtIsKept guards against a holder that gives up a lease which only the replies to its renewals were lost for.
func TestRenewalInDoubtIsKept(t *testing.T) {
	testRestore(t, func(r *restoredLease) {
		r.step(100*time.Millisecond, r.first)
		plan := []lrplatform.StoreFault{{LoseReply: true}, {Unavailable: true}, {LoseReply: true}, {Unavailable: true}}
		r.first.store = lrplatform.NewFaultyPlatform(r.store, func(lrplatform.StoreCall) lrplatform.StoreFault {
			if len(plan) == 0 {
				return lrplatform.StoreFault{}
			}
			fault := plan[0]
			plan = plan[1:]
			return fault
		})
		r.step(3*validity, r.first)
		requireEqual(t, r.holds(r.first), true, "it holds")
		status, _ := r.first.Held(time.Now())
		requireEqual(t, status.Fence, 1, "fencing number")
		requireEqual(t, status.HeldFor > 2*validity, true, "it was held all the time")
	})
}

// TestFencingNumbersAreNotGivenOutAgain guards against two holders with one fencing number, because the store has lost the lease of the first,
// or because a late write of an earlier holder has set the number back. The last holder ends, and only an instance that has never seen its
// number goes on.
func TestFencingNumbersAreNotGivenOutAgain(t *testing.T) {
	acquire := func(r *restoredLease, name string) (*Keeper, uint64) {
		t.Helper()
		k := NewKeeper(r.store, testOptions(name), time.Now)
		r.step(2*validity, k)
		status, held := k.Held(time.Now())
		requireEqual(t, held, true, "it holds")
		return k, status.Fence
	}
	t.Run("lost lease", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			acquire(r, "router-3")
			copied := r.store.writesUntil(time.Now())
			time.Sleep(2 * validity)
			_, lost := acquire(r, "router-4")
			r.store.restore(copied)
			_, next := acquire(r, "router-5")
			requireEqual(t, next > lost, true, "the next number is higher")
			requireEqual(t, next <= maxFence, true, "the number is exact")
		})
	})
	t.Run("late write", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			first, _ := acquire(r, "router-3")
			late := first.object
			r.store.restore(1)
			_, lost := acquire(r, "router-4")
			late.Version = r.store.revision()
			_, err := r.store.Update(t.Context(), late)
			requireEqual(t, err, nil, "error")
			_, next := acquire(r, "router-5")
			requireEqual(t, next > lost, true, "the next number is higher")
		})
	})
	t.Run("heard number, no era", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.store.namesNoEra = true
			lost, _ := acquire(r, "router-3")
			r.store.restore(0)
			r.second.RecordFence(lost.HighestFence())
			r.second.RecordFence(math.MaxUint64)
			requireEqual(t, r.second.Step(t.Context()), nil, "error")
			requireEqual(t, r.holds(r.second), false, "it holds at once")
			r.step(2*validity, r.second)
			status, _ := r.second.Held(time.Now())
			requireEqual(t, status.Fence, lost.HighestFence()+1, "fencing number")
		})
	})
	t.Run("number heard by the holder", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.step(100*time.Millisecond, r.first)
			r.first.RecordFence(7)
			r.step(100*time.Millisecond, r.first)
			status, held := r.first.Held(time.Now())
			requireEqual(t, held && status.Fence == 8, true, "it holds with the next number")
		})
	})
	t.Run("era falls", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.store.era = 9
			r.step(2*validity, r.first, r.second)
			highest := r.second.HighestFence()
			r.store.restore(1)
			r.store.era = 0
			r.step(2*validity, r.second)
			status, held := r.second.Held(time.Now())
			requireEqual(t, held && status.Fence > highest, true, "it holds with a higher number")
		})
	})
	t.Run("era above all bounds", func(t *testing.T) {
		testRestore(t, func(r *restoredLease) {
			r.store.era = math.MaxUint64
			_, number := acquire(r, "router-3")
			requireEqual(t, number > 1 && number <= maxFence, true, "the number is exact")
		})
	})
}

// revision returns the version of the last write.
func (s *restorableStore) revision() uint64 { return uint64(s.writesUntil(time.Now())) }

// TestReleasedLeaseOfACopyIsNotFree guards against an instance that has just started and acquires a released lease at once, although that is
// of an older copy: the next holder, whom the store has lost, is still active.
func TestReleasedLeaseOfACopyIsNotFree(t *testing.T) {
	testRestore(t, func(r *restoredLease) {
		r.step(100*time.Millisecond, r.first)
		requireEqual(t, r.first.Release(t.Context()), nil, "error")
		copied := r.store.writesUntil(time.Now())
		r.step(100*time.Millisecond, r.second)
		requireEqual(t, r.holds(r.second), true, "the second instance holds")
		r.store.restore(copied)
		r.first = NewKeeper(r.store, testOptions("router-1"), time.Now)
		r.step(validity, r.first)
		r.step(validity, r.first)
		status, held := r.first.Held(time.Now())
		requireEqual(t, held, true, "the first instance holds")
		requireEqual(t, status.Released, false, "it counts as released")
		requireEqual(t, r.first.Release(t.Context()), nil, "error")
		third := NewKeeper(r.store, testOptions("router-3"), time.Now)
		requireEqual(t, third.Step(t.Context()), nil, "error")
		requireEqual(t, r.holds(third), true, "the third instance holds at once")
	})
}

const (
	// restorePeriod is the mean time between two restores in random runs, and maxLoss the time whose writes a restore takes back at most.
	restorePeriod = 15 * time.Second
	maxLoss       = 5 * time.Second
	restoredRuns  = randomRuns / 2
)

// TestOneHolderAcrossRestores checks what TestOneHolderAtATime checks while the store comes back from copies some seconds old: late writes
// from before a restore, whose condition holds again by accident, paused holders and stale reads among them. The copies hold some lease.
func TestOneHolderAcrossRestores(t *testing.T) {
	held := 0
	for seed := range uint64(restoredRuns) {
		random := rand.New(rand.NewPCG(seed, 99))
		run := runContendersOn(t, newTestKeeper, seed, func() (lrplatform.Platform, func()) {
			store := newRestorableStore()
			return store, func() {
				const created = 1
				if store.writesUntil(time.Now()) >= created && random.Int64N(int64(restorePeriod/checkPeriod)) == 0 {
					store.restore(max(created, store.writesUntil(time.Now().Add(-time.Duration(random.Int64N(int64(maxLoss)))))))
				}
			}
		})
		if len(run.violations) > 0 {
			t.Errorf("seed %d: %v", seed, run.violations[:min(3, len(run.violations))])
		}
		held += run.heldCount
	}
	t.Logf("the lease was held at %d of %d checks", held, restoredRuns*int(runDuration/checkPeriod))
	requireEqual(t, held > restoredRuns*int(runDuration/checkPeriod)/10, true, "the lease is held")
}
