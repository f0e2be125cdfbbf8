package lrlease

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const (
	validity    = 6 * time.Second
	randomRuns  = 200
	runDuration = 3 * time.Minute
	checkPeriod = 20 * time.Millisecond
	maxStep     = 2 * time.Second
	maxPause    = 20 * time.Second
	instances   = 3
	leaseName   = "orders-zone-a-0"
)

// contender contends for the lease. It is implemented by Keeper and naiveKeeper.
type contender interface {
	Step(ctx context.Context) error
	Held(now time.Time) (Status, bool)
}

// testOptions returns the options of a Keeper of the instance, with no bound on turns.
func testOptions(instance string) Options {
	return Options{Name: leaseName, Instance: instance, Validity: validity}
}

type newContender func(store lrplatform.Store, holder string) contender

func newTestKeeper(store lrplatform.Store, holder string) contender {
	return NewKeeper(store, testOptions(holder), time.Now)
}

// TestOneHolderAtATime checks that of three contending instances at most one holds the lease at any time. The instances
// pause, and the platform refuses calls, answers late, returns stale reads and loses writes and replies.
func TestOneHolderAtATime(t *testing.T) {
	held := 0
	for seed := range uint64(randomRuns) {
		run := runContenders(t, newTestKeeper, seed)
		if len(run.violations) > 0 {
			t.Errorf("seed %d: %v", seed, run.violations)
		}
		held += run.heldCount
	}
	t.Logf("the lease was held at %d of %d checks", held, randomRuns*int(runDuration/checkPeriod))
	requireEqual(t, held > randomRuns*int(runDuration/checkPeriod)/4, true, "the lease is held")
}

// TestNaiveHoldersOverlap checks that the runs detect the error of a keeper that counts the validity from the reply.
func TestNaiveHoldersOverlap(t *testing.T) {
	violatingRuns := 0
	for seed := range uint64(randomRuns / 10) {
		if len(runContenders(t, newNaiveKeeper, seed).violations) > 0 {
			violatingRuns++
		}
	}
	t.Logf("the naive keeper violates the rules in %d of %d runs", violatingRuns, randomRuns/10)
	requireEqual(t, violatingRuns > 0, true, "the error of the naive keeper is detected")
}

// leaseRun contains the observations of one run.
type leaseRun struct {
	violations []string
	heldCount  int
	holder     int
	fence      uint64
}

func runContenders(t *testing.T, create newContender, seed uint64) *leaseRun {
	t.Helper()
	return runContendersOn(t, create, seed, func() (lrplatform.Platform, func()) { return lrplatform.NewMemory(), func() {} })
}

// runContendersOn lets the instances contend in the store that newStore returns, with a function that is called before each check.
func runContendersOn(t *testing.T, create newContender, seed uint64, newStore func() (lrplatform.Platform, func())) *leaseRun {
	t.Helper()
	run := &leaseRun{holder: -1}
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), runDuration)
		defer stop()
		platform, disturb := newStore()
		contenders := make([]contender, 0, instances)
		for n := range instances {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			store := &slowStore{Store: lrplatform.NewFaultyPlatform(platform, randomPlan(random)), random: random}
			c := create(store, fmt.Sprint("router-", n))
			contenders = append(contenders, c)
			go contend(ctx, c, rand.New(rand.NewPCG(seed, uint64(n+10))))
		}
		for ctx.Err() == nil {
			time.Sleep(checkPeriod)
			disturb()
			run.check(contenders, time.Now())
		}
		time.Sleep(2 * maxPause)
	})
	return run
}

func randomPlan(random *rand.Rand) lrplatform.FaultPlan {
	return func(lrplatform.StoreCall) lrplatform.StoreFault {
		switch random.IntN(12) {
		case 0:
			return lrplatform.StoreFault{Unavailable: true}
		case 1:
			return lrplatform.StoreFault{LoseWrite: true}
		case 2:
			return lrplatform.StoreFault{LoseReply: true}
		case 3:
			return lrplatform.StoreFault{Stale: true}
		case 4:
			return lrplatform.StoreFault{Before: func() { time.Sleep(time.Duration(random.Int64N(int64(2 * validity)))) }}
		default:
			return lrplatform.StoreFault{}
		}
	}
}

// slowStore delays some replies after the write has taken effect.
type slowStore struct {
	lrplatform.Store
	random *rand.Rand
}

func (s *slowStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	updated, err := s.Store.Update(ctx, object)
	if s.random.IntN(6) == 0 {
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * validity))))
	}
	return updated, err
}

// contend calls Step repeatedly, sometimes after a long pause.
func contend(ctx context.Context, c contender, random *rand.Rand) {
	for ctx.Err() == nil {
		_ = c.Step(ctx)
		wait := time.Duration(random.Int64N(int64(maxStep)))
		if random.IntN(20) == 0 {
			wait = time.Duration(random.Int64N(int64(maxPause)))
		}
		time.Sleep(wait)
	}
}

// check checks that at most one contender holds the lease and that each new holder has a higher fencing number.
func (r *leaseRun) check(contenders []contender, now time.Time) {
	holders := 0
	for n, c := range contenders {
		grant, held := c.Held(now)
		if !held {
			continue
		}
		holders++
		if n != r.holder && grant.Fence <= r.fence {
			r.violations = append(r.violations, fmt.Sprintf("router-%d holds number %d after %d", n, grant.Fence, r.fence))
		}
		r.holder, r.fence = n, grant.Fence
	}
	if holders > 1 {
		r.violations = append(r.violations, fmt.Sprintf("%d holders at once", holders))
	}
	r.heldCount += holders
}

// TestRelease checks that another instance acquires a released lease at once and learns that it was released.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		memory := lrplatform.NewMemory()
		first := NewKeeper(memory, testOptions("router-1"), time.Now)
		second := NewKeeper(memory, testOptions("router-2"), time.Now)
		requireEqual(t, first.Step(ctx), nil, "error")
		requireEqual(t, second.Step(ctx), nil, "error")
		_, held := second.Held(time.Now())
		requireEqual(t, held, false, "the second instance holds")
		requireEqual(t, first.Release(ctx), nil, "error")
		requireEqual(t, second.Step(ctx), nil, "error")
		grant, held := second.Held(time.Now())
		requireEqual(t, held, true, "the second instance holds")
		requireEqual(t, grant.Released, true, "the lease was released")
		requireEqual(t, grant.Fence, 2, "fencing number")
	})
}

// naiveKeeper acquires a lease that it has seen unchanged for the validity, and counts the validity of its own lease from
// the reply.
type naiveKeeper struct {
	store  lrplatform.Store
	holder string
	object lrplatform.Object
	seenAt time.Time

	mutex      sync.Mutex
	lease      Lease
	validUntil time.Time
}

func newNaiveKeeper(store lrplatform.Store, holder string) contender {
	return &naiveKeeper{store: store, holder: holder}
}

func (k *naiveKeeper) Held(now time.Time) (Status, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return Status{Fence: k.lease.Fence}, now.Before(k.validUntil)
}

func (k *naiveKeeper) Step(ctx context.Context) error {
	object, err := k.store.Get(ctx, lrplatform.KindLease, leaseName)
	if err != nil && !lrplatform.ErrNotFound.Has(err) {
		return err
	}
	var lease Lease
	_ = json.Unmarshal(object.Value, &lease)
	if object.Version != k.object.Version {
		k.object, k.seenAt = object, time.Now()
	}
	if lease.Holder != k.holder && object.Version != 0 && time.Since(k.seenAt) < validity {
		return nil
	}
	lease = lease.WithHolder(k.holder, "", validity)
	value, err := json.Marshal(lease)
	if err != nil {
		return err
	}
	if object.Version == 0 {
		_, err = k.store.Create(ctx, lrplatform.KindLease, leaseName, value)
	} else {
		_, err = k.store.Update(ctx, object.WithValue(value))
	}
	if err == nil {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.lease, k.validUntil = lease, time.Now().Add(validity)
	}
	return err
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
