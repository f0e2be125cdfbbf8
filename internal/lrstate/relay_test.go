package lrstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// watchLimit is how long a watch of the test's platform waits for a change.
const watchLimit = 30 * time.Second

// boundedWatches is a platform whose watches end without a change after watchLimit, as they do over HTTP.
type boundedWatches struct{ *lrplatform.Memory }

func (b boundedWatches) Watch(ctx context.Context, kind string, after uint64) (lrplatform.Changes, error) {
	limited, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	changes, err := b.Memory.Watch(limited, kind, after)
	if limited.Err() != nil {
		err = ctx.Err()
	}
	return changes, err
}

// A platform comes back from a copy that is older than the watch of its head. The watch waited for a revision that it had seen already, and
// did not see the change that was made meanwhile: in a zone whose instances all watch, none had it until the next one.
func TestWatchSeesChangesAfterRestore(t *testing.T) {
	for _, later := range []int{0, 40} {
		t.Run(fmt.Sprint(later, " writes after the change"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := lrplatform.NewMemory()
				ctx, cancel := context.WithCancel(context.Background())
				requireNoError(t, addKey(ctx, NewPublisher(memory), "first"))
				older := memory.Copy()
				writeLeases(t, memory, "lost", 20)
				follower := NewFollower(zerolog.Nop(), func(string) {})
				relay := NewRelay(follower, boundedWatches{memory}, &simPeers{}, loneMember{}, RelayOptions{
					WatchersPerZone: 1, WatchInterval: time.Second, Candidates: func(context.Context) []lrpeer.Member { return loneMember{}.Members() },
					OnPlatform: func() {}, Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
				})
				go func() { _ = relay.Start(ctx) }()
				go func() { _ = relay.Watch(ctx) }()
				time.Sleep(10 * time.Second)
				memory.Restore(older)
				requireNoError(t, addKey(ctx, NewPublisher(memory), "second"))
				writeLeases(t, memory, "new", later)
				time.Sleep(2 * watchLimit)
				cancel()
				synctest.Wait()
				if version := follower.Snapshot().Version(); version != 2 {
					t.Errorf("got version %d, want 2", version)
				}
			})
		})
	}
}

// writeLeases makes the number of writes that don't concern the configuration.
func writeLeases(t *testing.T, memory *lrplatform.Memory, name string, count int) {
	t.Helper()
	for n := range count {
		_, err := memory.Create(context.Background(), lrplatform.KindLease, fmt.Sprint(name, n), nil)
		requireNoError(t, err)
	}
}

// loneMember is the membership of an instance that knows no other.
type loneMember struct{}

func (loneMember) Self() lrpeer.Member      { return memberOf(0) }
func (loneMember) Members() []lrpeer.Member { return []lrpeer.Member{memberOf(0)} }
