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
	testModel     = "award-review"
	testZone      = "zone-a"
	randomRuns    = 100
	runDuration   = 4 * time.Minute
	loadTime      = 200 * time.Millisecond
	callTimeout   = 2 * time.Second
	orderValidity = time.Second
	leaseValidity = 6 * time.Second
	maxPause      = 12 * time.Second
	versionPeriod = 3 * time.Second
	maxStepDelay  = 200 * time.Millisecond
)

// TestOrdersUnderLease checks that no two engines load weights at the same time and that no engine runs an order with a
// lower fencing number than an earlier one. Two instances send orders to engines that check fencing numbers and engines that
// ignore them. The instances pause at any point, the platform fails and orders arrive late.
func TestOrdersUnderLease(t *testing.T) {
	t.Parallel()
	completed := 0
	for seed := range uint64(randomRuns) {
		s := runHolders(t, seed, stepOfHolder)
		if len(s.violations) > 0 {
			t.Errorf("seed %d: %v", seed, s.violations[0])
		}
		completed += s.completed
	}
	t.Logf("%d orders were completed in %d runs", completed, randomRuns)
	requireEqual(t, completed > randomRuns, true, "orders are completed")
}

// TestHoldersWithoutLeaseFail checks that the same runs detect the errors of instances that send orders without a lease.
func TestHoldersWithoutLeaseFail(t *testing.T) {
	t.Parallel()
	violatingRuns := 0
	for seed := range uint64(randomRuns) {
		if len(runHolders(t, seed, stepWithoutLease).violations) > 0 {
			violatingRuns++
		}
	}
	t.Logf("holders without a lease violate the rules in %d of %d runs", violatingRuns, randomRuns)
	requireEqual(t, violatingRuns > 0, true, "the errors of holders without a lease are detected")
}

func stepOfHolder(ctx context.Context, h *Holder) { h.Step(ctx) }

func stepWithoutLease(ctx context.Context, h *Holder) {
	engines := h.collectEngines(ctx)
	order, ok := lrorder.Next(h.Clock(), h.trackDesiredModels(), engines, h.options.SettleTime)
	if ok {
		engine, _ := h.Engines.Engine(order.Engine)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = engine.Order(ctx, wireOrder(order, 1, h.options.Times))
	}
}

// shardSimulation is a shard with its engines and the instances that send orders to them. It implements EngineRegistry.
type shardSimulation struct {
	mutex      sync.Mutex
	random     *rand.Rand
	desired    string
	engines    []*fakeEngine
	loading    int
	completed  int
	violations []string
	// pause sometimes blocks the calling instance for a random time.
	pause func()
	// deliveryDelay returns the time between the sending and the receipt of an order.
	deliveryDelay func() time.Duration
}

func newShardSimulation(seed uint64) *shardSimulation {
	s := &shardSimulation{random: rand.New(rand.NewPCG(seed, 0)), desired: "v1"}
	s.deliveryDelay = func() time.Duration { return s.duration(callTimeout) }
	s.pause = func() {
		if s.duration(80) == 0 {
			time.Sleep(s.duration(maxPause))
		}
	}
	for n := 0; len(s.engines) < 4; n++ {
		name := fmt.Sprintf("engine-%d", n)
		if lrorder.Shard(name) == 0 {
			s.engines = append(s.engines, &fakeEngine{simulation: s, name: name, checks: len(s.engines)%2 == 0, version: "v1"})
		}
	}
	return s
}

func (s *shardSimulation) newHolder(n int, store lrplatform.Store) *Holder {
	return NewHolder(Dependencies{Store: store, Engines: s, DesiredModels: s.desiredModels, Clock: time.Now, Log: zerolog.Nop()}, Options{
		Instance: fmt.Sprint("router-", n), Zone: testZone, LeaseValidity: leaseValidity, SettleTime: loadTime,
		Times: lrorder.Timeouts{CallTimeout: callTimeout, ValidFor: orderValidity},
	}, 0)
}

// TestPausedHolder checks that a holder that is paused just before it sends an order, for times shorter and longer than its
// lease, causes no violation. The order takes long to arrive, and another instance waits for the lease.
func TestPausedHolder(t *testing.T) {
	for pause := time.Duration(0); pause < 2*leaseValidity; pause += 500 * time.Millisecond {
		s := newShardSimulation(0)
		synctest.Test(t, func(*testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), runDuration)
			defer stop()
			memory := lrplatform.NewMemory()
			s.deliveryDelay = func() time.Duration { return callTimeout - time.Millisecond }
			s.pause = func() {}
			go s.drive(ctx, s.newHolder(0, memory), stepOfHolder)
			time.Sleep(callTimeout + orderValidity)
			go s.drive(ctx, s.newHolder(1, memory), stepOfHolder)
			time.Sleep(time.Second)
			var paused atomic.Bool
			s.mutex.Lock()
			s.desired, s.pause = "v2", func() {
				if paused.CompareAndSwap(false, true) {
					time.Sleep(pause)
				}
			}
			s.mutex.Unlock()
			<-ctx.Done()
			time.Sleep(2 * maxPause)
		})
		requireEqual(t, fmt.Sprint(s.violations), "[]", fmt.Sprintf("violations after a pause of %s", pause))
		for _, e := range s.engines {
			requireEqual(t, e.version, "v2", fmt.Sprintf("version of %s after a pause of %s", e.name, pause))
		}
	}
}

// TestRefusedFencingNumberIsRaised guards against a holder whose number an engine refuses for good, because the platform has lost a lease with
// a higher one: it would send no other order either, since the first one never ends.
func TestRefusedFencingNumberIsRaised(t *testing.T) {
	s := newShardSimulation(0)
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), runDuration)
		defer stop()
		s.pause, s.engines[0].fence, s.desired = func() {}, 3, "v2"
		go s.drive(ctx, s.newHolder(0, lrplatform.NewMemory()), stepOfHolder)
		<-ctx.Done()
		time.Sleep(maxPause)
	})
	for _, e := range s.engines {
		requireEqual(t, e.version, "v2", "version of "+e.name)
	}
}

func runHolders(t *testing.T, seed uint64, step func(context.Context, *Holder)) *shardSimulation {
	t.Helper()
	s := newShardSimulation(seed)
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), runDuration)
		defer stop()
		memory := lrplatform.NewMemory()
		for n := range 2 {
			go s.drive(ctx, s.newHolder(n, lrplatform.NewFaultyPlatform(memory, s.plan)), step)
		}
		for n := 2; ctx.Err() == nil; n++ {
			time.Sleep(versionPeriod)
			s.setDesired(fmt.Sprint("v", n))
		}
		time.Sleep(2 * maxPause)
	})
	return s
}

func (s *shardSimulation) drive(ctx context.Context, h *Holder, step func(context.Context, *Holder)) {
	for ctx.Err() == nil {
		step(ctx, h)
		time.Sleep(s.duration(maxStepDelay))
	}
}

func (s *shardSimulation) duration(bound time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(s.random.Int64N(int64(bound)))
}

func (s *shardSimulation) maybePause() {
	s.mutex.Lock()
	pause := s.pause
	s.mutex.Unlock()
	pause()
}

func (s *shardSimulation) plan(lrplatform.StoreCall) lrplatform.StoreFault {
	switch s.duration(15) {
	case 0:
		return lrplatform.StoreFault{LoseReply: true}
	case 1:
		return lrplatform.StoreFault{Unavailable: true}
	default:
		return lrplatform.StoreFault{Before: s.maybePause}
	}
}

func (s *shardSimulation) setDesired(version string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.desired = version
}

func (s *shardSimulation) desiredModels() []lrorder.Model {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return []lrorder.Model{{Name: testModel, Version: s.desired, ServedVersion: s.desired}}
}

// Engine returns the engine with the name.
func (s *shardSimulation) Engine(name string) (lrengine.Engine, bool) {
	for _, e := range s.engines {
		if e.name == name {
			return e, true
		}
	}
	return nil, false
}

// EngineStates returns every engine as reachable.
func (s *shardSimulation) EngineStates(time.Time) []lrregistry.EngineState {
	states := make([]lrregistry.EngineState, 0, len(s.engines))
	for _, e := range s.engines {
		states = append(states, lrregistry.EngineState{Reachable: true, Instance: lrplatform.Instance{
			Name: e.name, Zone: testZone, Models: []string{testModel}, ChecksFencing: e.checks,
		}})
	}
	return states
}

// fakeEngine loads weights as ordered. It rejects orders with an earlier fencing number only when checks is set.
type fakeEngine struct {
	lrengine.Engine
	simulation *shardSimulation
	name       string
	checks     bool
	version    string
	fence      uint64
}

// Load returns the loaded version.
func (e *fakeEngine) Load(context.Context) (lrengine.Load, error) {
	e.simulation.maybePause()
	e.simulation.mutex.Lock()
	defer e.simulation.mutex.Unlock()
	return lrengine.Load{Versions: map[string]string{testModel: e.version}}, nil
}

// Order delivers the order after a delay within the call timeout. It delivers nothing when the context has already ended.
func (e *fakeEngine) Order(ctx context.Context, order lrengine.Order) error {
	e.simulation.maybePause()
	if ctx.Err() != nil {
		return lrengine.ErrNotSent.Wrap(ctx.Err())
	}
	result := make(chan error, 1)
	go func() {
		time.Sleep(e.simulation.deliveryDelay())
		result <- e.run(order)
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return lrengine.ErrBroken.Wrap(ctx.Err())
	}
}

func (e *fakeEngine) run(order lrengine.Order) error {
	if !e.begin(order) {
		return lrengine.ErrStaleFence.New("a higher fencing number has been seen")
	}
	time.Sleep(loadTime)
	e.simulation.mutex.Lock()
	defer e.simulation.mutex.Unlock()
	e.simulation.loading--
	e.simulation.completed++
	e.version = order.Version
	return nil
}

// begin checks the invariants when an engine begins to load weights. It reports whether the engine accepts the order.
func (e *fakeEngine) begin(order lrengine.Order) bool {
	s := e.simulation
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.checks && order.FencingNumber < e.fence {
		return false
	}
	if order.FencingNumber < e.fence {
		s.violations = append(s.violations, fmt.Sprintf("%s runs an order with fencing number %d after %d", e.name, order.FencingNumber, e.fence))
	}
	e.fence = max(e.fence, order.FencingNumber)
	s.loading++
	if s.loading > 1 {
		s.violations = append(s.violations, "two engines of one shard load weights at once")
	}
	return true
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// TestHoldersTakeNoTurns guards against a new process of an instance that sends orders again within the turn interval after another instance
// did: the engines of the shard got orders from two instances by turns.
func TestHoldersTakeNoTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		memory := lrplatform.NewMemory()
		s := newShardSimulation(0)
		newHolder := func(n int) *Holder {
			h := s.newHolder(n, memory)
			options := h.options
			options.TurnInterval = 2 * leaseValidity
			return NewHolder(h.Dependencies, options, 0)
		}
		for n := range 2 {
			h := newHolder(n)
			h.Step(ctx)
			requireEqual(t, h.Held(), true, "the instance holds the shard")
			h.ReleaseLease(ctx)
		}
		restarted := newHolder(0)
		restarted.Step(ctx)
		requireEqual(t, restarted.Held(), false, "the restarted instance holds the shard at once")
		time.Sleep(2*leaseValidity + callTimeout + orderValidity)
		restarted.Step(ctx)
		requireEqual(t, restarted.Held(), true, "the restarted instance holds the shard after the interval")
	})
}
