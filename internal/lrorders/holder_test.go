package lrorders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
)

const (
	testModel  = "award-review"
	testZone   = "zone-a"
	randomRuns = 100
	runFor     = 4 * time.Minute
	loadTime   = 200 * time.Millisecond
	callBound  = 2 * time.Second
	validBound = time.Second
	leaseBound = 6 * time.Second
	maxPause   = 12 * time.Second
	wantEvery  = 3 * time.Second
	stepWait   = 200 * time.Millisecond
)

// TestOrdersUnderLease lets two instances give orders to engines that check fencing numbers and engines that ignore
// them. The instances pause anywhere, the platform fails and orders arrive late.
func TestOrdersUnderLease(t *testing.T) {
	t.Parallel()
	given := 0
	for seed := range uint64(randomRuns) {
		w := runHolders(t, seed, stepOfHolder)
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %v", seed, w.broken[0])
		}
		given += w.given
	}
	t.Logf("%d orders were carried out in %d runs", given, randomRuns)
	requireEqual(t, given > randomRuns, true, "orders are given")
}

// TestNaiveHoldersFail lets both instances give orders without a lease.
func TestNaiveHoldersFail(t *testing.T) {
	t.Parallel()
	broken := 0
	for seed := range uint64(randomRuns) {
		if len(runHolders(t, seed, stepWithoutLease).broken) > 0 {
			broken++
		}
	}
	t.Logf("holders without a lease break %d of %d runs", broken, randomRuns)
	requireEqual(t, broken > 0, true, "holders without a lease are caught")
}

func stepOfHolder(ctx context.Context, h *Holder) { h.Step(ctx) }

func stepWithoutLease(ctx context.Context, h *Holder) {
	engines := h.look(ctx)
	order, ok := lrorder.Next(h.Clock(), h.wishes(), engines, h.options.Settle)
	if ok {
		engine, _ := h.Engines.Engine(order.Engine)
		ctx, cancel := context.WithTimeout(ctx, callBound)
		defer cancel()
		_ = engine.Order(ctx, wireOrder(order, 1, h.options.Times))
	}
}

// ordersWorld is a shard with its engines and two instances.
type ordersWorld struct {
	mutex   sync.Mutex
	random  *rand.Rand
	wanted  string
	engines []*fakeEngine
	loading int
	given   int
	broken  []string
	// pause stops the calling instance for a while, now and then.
	pause func()
	// travel is how long an order is on its way.
	travel func() time.Duration
}

func newOrdersWorld(seed uint64) *ordersWorld {
	w := &ordersWorld{random: rand.New(rand.NewPCG(seed, 0)), wanted: "v1"}
	w.travel = func() time.Duration { return w.duration(callBound) }
	w.pause = func() {
		if w.duration(80) == 0 {
			time.Sleep(w.duration(maxPause))
		}
	}
	for n := 0; len(w.engines) < 4; n++ {
		name := fmt.Sprintf("engine-%d", n)
		if lrorder.Shard(name) == 0 {
			w.engines = append(w.engines, &fakeEngine{world: w, name: name, checks: len(w.engines)%2 == 0, version: "v1"})
		}
	}
	return w
}

func (w *ordersWorld) newHolder(n int, store lrplatform.Store) *Holder {
	return NewHolder(Parts{Store: store, Engines: w, Wanted: w.wishes, Clock: time.Now, Log: zerolog.Nop()}, Options{
		Instance: fmt.Sprint("router-", n), Zone: testZone, LeaseValidity: leaseBound, Settle: loadTime,
		Times: lrorder.Times{CallTimeout: callBound, ValidFor: validBound},
	}, 0)
}

// TestPausedHolder pauses the holder for every length around its lease, right before it gives an order that is slow on
// its way, while another instance waits for the lease.
func TestPausedHolder(t *testing.T) {
	for pause := time.Duration(0); pause < 2*leaseBound; pause += 500 * time.Millisecond {
		w := newOrdersWorld(0)
		synctest.Test(t, func(*testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), runFor)
			defer stop()
			memory := lrplatform.NewMemory()
			w.travel = func() time.Duration { return callBound - time.Millisecond }
			w.pause = func() {}
			go w.drive(ctx, w.newHolder(0, memory), stepOfHolder)
			time.Sleep(callBound + validBound)
			go w.drive(ctx, w.newHolder(1, memory), stepOfHolder)
			time.Sleep(time.Second)
			var paused atomic.Bool
			w.mutex.Lock()
			w.wanted, w.pause = "v2", func() {
				if paused.CompareAndSwap(false, true) {
					time.Sleep(pause)
				}
			}
			w.mutex.Unlock()
			<-ctx.Done()
			time.Sleep(2 * maxPause)
		})
		requireEqual(t, fmt.Sprint(w.broken), "[]", fmt.Sprintf("violations after a pause of %s", pause))
		for _, e := range w.engines {
			requireEqual(t, e.version, "v2", fmt.Sprintf("version of %s after a pause of %s", e.name, pause))
		}
	}
}

func runHolders(t *testing.T, seed uint64, step func(context.Context, *Holder)) *ordersWorld {
	t.Helper()
	w := newOrdersWorld(seed)
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), runFor)
		defer stop()
		memory := lrplatform.NewMemory()
		for n := range 2 {
			go w.drive(ctx, w.newHolder(n, lrplatform.NewFaulty(memory, w.plan)), step)
		}
		for n := 2; ctx.Err() == nil; n++ {
			time.Sleep(wantEvery)
			w.want(fmt.Sprint("v", n))
		}
		time.Sleep(2 * maxPause)
	})
	return w
}

func (w *ordersWorld) drive(ctx context.Context, h *Holder, step func(context.Context, *Holder)) {
	for ctx.Err() == nil {
		step(ctx, h)
		time.Sleep(w.duration(stepWait))
	}
}

func (w *ordersWorld) duration(bound time.Duration) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Duration(w.random.Int64N(int64(bound)))
}

func (w *ordersWorld) maybePause() {
	w.mutex.Lock()
	pause := w.pause
	w.mutex.Unlock()
	pause()
}

func (w *ordersWorld) plan(lrplatform.StoreCall) lrplatform.StoreFault {
	switch w.duration(15) {
	case 0:
		return lrplatform.StoreFault{LoseReply: true}
	case 1:
		return lrplatform.StoreFault{Unavailable: true}
	default:
		return lrplatform.StoreFault{Before: w.maybePause}
	}
}

func (w *ordersWorld) want(version string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.wanted = version
}

func (w *ordersWorld) wishes() []lrorder.Model {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return []lrorder.Model{{Name: testModel, Version: w.wanted, Served: w.wanted}}
}

// Engine returns the engine of the name.
func (w *ordersWorld) Engine(name string) (lrengine.Engine, bool) {
	for _, e := range w.engines {
		if e.name == name {
			return e, true
		}
	}
	return nil, false
}

// EngineStates returns every engine as reachable.
func (w *ordersWorld) EngineStates(time.Time) []lrregistry.EngineState {
	states := make([]lrregistry.EngineState, 0, len(w.engines))
	for _, e := range w.engines {
		states = append(states, lrregistry.EngineState{Reachable: true, Instance: lrplatform.Instance{
			Name: e.name, Zone: testZone, Models: []string{testModel}, ChecksFencing: e.checks,
		}})
	}
	return states
}

// fakeEngine loads weights as it is told. It refuses an old fencing number only when it checks them.
type fakeEngine struct {
	lrengine.Engine
	world   *ordersWorld
	name    string
	checks  bool
	version string
	fence   uint64
}

// Load returns the loaded version.
func (e *fakeEngine) Load(context.Context) (lrengine.Load, error) {
	e.world.maybePause()
	e.world.mutex.Lock()
	defer e.world.mutex.Unlock()
	return lrengine.Load{Versions: map[string]string{testModel: e.version}}, nil
}

// Order arrives after a while, up to the bound of the call. A sender whose call has timed out sends nothing.
func (e *fakeEngine) Order(ctx context.Context, order lrengine.Order) error {
	e.world.maybePause()
	if ctx.Err() != nil {
		return lrengine.ErrNotSent.Wrap(ctx.Err())
	}
	result := make(chan error, 1)
	go func() {
		time.Sleep(e.world.travel())
		result <- e.carryOut(order)
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return lrengine.ErrBroken.Wrap(ctx.Err())
	}
}

func (e *fakeEngine) carryOut(order lrengine.Order) error {
	if !e.begin(order) {
		return lrengine.ErrStaleFence.New("a higher fencing number has been seen")
	}
	time.Sleep(loadTime)
	e.world.mutex.Lock()
	defer e.world.mutex.Unlock()
	e.world.loading--
	e.world.given++
	e.version = order.Version
	return nil
}

// begin checks what must hold whenever an engine begins to load weights.
func (e *fakeEngine) begin(order lrengine.Order) bool {
	w := e.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if e.checks && order.Fence < e.fence {
		return false
	}
	if order.Fence < e.fence {
		w.broken = append(w.broken, fmt.Sprintf("%s carries out an order with number %d after %d", e.name, order.Fence, e.fence))
	}
	e.fence = max(e.fence, order.Fence)
	w.loading++
	if w.loading > 1 {
		w.broken = append(w.broken, "two engines of one shard load weights at once")
	}
	return true
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
