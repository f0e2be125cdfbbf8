package lrqueue

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

func at(millis int) time.Time { return time.UnixMilli(int64(millis)) }

// admission is the result of one Enter.
type admission struct {
	release func(time.Time)
	err     error
}

// enter calls Enter in a goroutine and returns the channel for its result. It returns when the entry waits or has been
// decided.
func enter(ctx context.Context, f *FairQueue, millis int, entry Entry) <-chan admission {
	result := make(chan admission, 1)
	before := f.Waiting()
	go func() {
		release, err := f.Enter(ctx, at(millis), entry)
		result <- admission{release, err}
	}()
	for f.Waiting() == before && len(result) == 0 {
		time.Sleep(time.Millisecond)
	}
	return result
}

func newTestQueue(capacity int) *FairQueue {
	return NewFairQueue(Options{Quantum: 100, MaxTokens: 1000, MaxWait: time.Hour}, capacity)
}

func requireRefused(t *testing.T, result <-chan admission, kind lrerror.Kind) {
	t.Helper()
	end := <-result
	requireEqual(t, lrerror.Is(end.err, kind), true, "kind of "+fmt.Sprint(end.err))
	requireEqual(t, lrerror.From(end.err).Outcome(), lrerror.NotRun, "outcome")
}

func requireAdmitted(t *testing.T, result <-chan admission) func(time.Time) {
	t.Helper()
	end := <-result
	if end.err != nil {
		t.Fatal(end.err)
	}
	return end.release
}

func TestFairAdmitsWithinCapacityByPriority(t *testing.T) {
	f, ctx := newTestQueue(100), context.Background()
	first := requireAdmitted(t, enter(ctx, f, 0, Entry{Account: "a", Tokens: 500, Priority: 1}))
	batch := enter(ctx, f, 0, Entry{Account: "a", Tokens: 10})
	urgent := enter(ctx, f, 0, Entry{Account: "b", Tokens: 200, Priority: 1})
	first(at(1))
	second := requireAdmitted(t, urgent)
	requireEqual(t, len(batch), 0, "admitted beyond the capacity")
	second(at(2))
	requireAdmitted(t, batch)
}

func TestFairAdmitsDespiteLowerPriorityLoad(t *testing.T) {
	f, ctx := newTestQueue(100), context.Background()
	requireAdmitted(t, enter(ctx, f, 0, Entry{Account: "a", Tokens: 500}))
	batch := enter(ctx, f, 0, Entry{Account: "a", Tokens: 10})
	requireAdmitted(t, enter(ctx, f, 0, Entry{Account: "b", Tokens: 200, Priority: 1}))
	requireEqual(t, len(batch), 0, "admitted beyond the capacity")
}

func TestFairRefusesEarly(t *testing.T) {
	f, ctx := newTestQueue(100), context.Background()
	f.options.MaxWait = 3 * time.Second
	for n := range 20 {
		requireAdmitted(t, enter(ctx, f, 100*n, Entry{Account: "a", Tokens: 100}))(at(100 * (n + 1)))
	}
	release := requireAdmitted(t, enter(ctx, f, 2000, Entry{Account: "a", Tokens: 100}))
	t.Run("request delayed too long by its own account's backlog", func(t *testing.T) {
		f.options.MaxTokens = 1 << 20
		waiting := enter(ctx, f, 2000, Entry{Account: "a", Tokens: 4000})
		requireRefused(t, enter(ctx, f, 2000, Entry{Account: "a", Tokens: 100}), lrerror.KindOverloaded)
		other := enter(ctx, f, 2000, Entry{Account: "b", Tokens: 100})
		release(at(2100))
		requireAdmitted(t, other)(at(2200))
		requireAdmitted(t, waiting)(at(6200))
	})
	t.Run("request that cannot be served before its deadline", func(t *testing.T) {
		busy := requireAdmitted(t, enter(ctx, f, 6200, Entry{Account: "a", Tokens: 100}))
		waiting := enter(ctx, f, 6200, Entry{Account: "a", Tokens: 2000})
		short, cancel := context.WithDeadline(ctx, at(7000))
		defer cancel()
		requireRefused(t, enter(short, f, 6200, Entry{Account: "a", Tokens: 100}), lrerror.KindOverloaded)
		busy(at(6300))
		requireAdmitted(t, waiting)
	})
}

func TestFairEvictsTheLargestBacklog(t *testing.T) {
	f, ctx := newTestQueue(1), context.Background()
	requireAdmitted(t, enter(ctx, f, 0, Entry{Account: "a", Tokens: 10}))
	flood := make([]<-chan admission, 0, 10)
	for range 10 {
		flood = append(flood, enter(ctx, f, 0, Entry{Account: "a", Tokens: 100}))
	}
	requireRefused(t, enter(ctx, f, 0, Entry{Account: "a", Tokens: 100}), lrerror.KindOverloaded)
	small := enter(ctx, f, 0, Entry{Account: "b", Tokens: 90})
	requireRefused(t, flood[9], lrerror.KindOverloaded)
	requireEqual(t, len(small), 0, "the small account waits")
	requireEqual(t, f.Waiting(), 990, "waiting tokens")
}

func TestFairDropsCanceledCallers(t *testing.T) {
	f, ctx := newTestQueue(1), context.Background()
	release := requireAdmitted(t, enter(ctx, f, 0, Entry{Account: "a", Tokens: 10}))
	short, cancel := context.WithCancel(ctx)
	canceled := enter(short, f, 0, Entry{Account: "a", Tokens: 10})
	staying := enter(ctx, f, 0, Entry{Account: "a", Tokens: 10})
	cancel()
	requireRefused(t, canceled, lrerror.KindTimeout)
	release(at(1))
	requireAdmitted(t, staying)
}

// TestFairNeverExceedsCapacity lets many goroutines enter and leave at once.
func TestFairNeverExceedsCapacity(t *testing.T) {
	f := newTestQueue(100)
	f.options.MaxTokens = 1 << 20
	var admitted, most atomic.Int64
	var group sync.WaitGroup
	for n := range 200 {
		group.Go(func() {
			release, err := f.Enter(context.Background(), at(n), Entry{Account: fmt.Sprint(n % 7), Tokens: 10})
			if err != nil {
				t.Error(err)
				return
			}
			storeMax(&most, admitted.Add(10))
			admitted.Add(-10)
			release(at(n))
		})
	}
	group.Wait()
	requireEqual(t, most.Load() <= 100, true, "admitted tokens within the capacity")
	requireEqual(t, f.admitted.Total(), 0, "tokens still admitted")
	requireEqual(t, f.Waiting(), 0, "tokens still waiting")
}

func storeMax(most *atomic.Int64, value int64) {
	for seen := most.Load(); value > seen && !most.CompareAndSwap(seen, value); seen = most.Load() {
		continue
	}
}
