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
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
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

// TestLostConfigurationIsWrittenAgain guards against configurations that are lost with an older copy of the platform's store: the instances
// stayed at the lost version, instances that started anew got the one before, and the next changes, under the numbers of the lost ones, were
// not in force.
func TestLostConfigurationIsWrittenAgain(t *testing.T) {
	for _, namesEra := range []bool{true, false} {
		for lost := 1; lost <= 3; lost++ {
			t.Run(fmt.Sprintf("%d versions, era %t", lost, namesEra), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRestoredRelay(t, namesEra)
					defer r.stop()
					r.loseKeys(t, lost)
					requireNoError(t, addKey(r.ctx, r.publisher, "next"))
					time.Sleep(time.Second)
					r.requireKeys(t, lost+2)
					entries, err := r.publisher.Audit(r.ctx, 10)
					requireNoError(t, err)
					if len(entries) != lost+2 {
						t.Errorf("the audit trail has %d entries, want %d", len(entries), lost+2)
					}
				})
			})
		}
	}
}

// TestChangeAfterRestoreIsNotOverwritten guards against instances that write a lost configuration over a change that an operator has made since
// the platform came back.
func TestChangeAfterRestoreIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRestoredRelay(t, true)
		defer r.stop()
		older := r.memory.Copy()
		requireNoError(t, addKey(r.ctx, r.publisher, "lost0"))
		requireNoError(t, addKey(r.ctx, r.publisher, "lost1"))
		time.Sleep(time.Second)
		// The change is in the platform before the instance reads it again.
		changed := lrplatform.NewMemory()
		changed.Restore(older)
		requireNoError(t, addKey(r.ctx, NewPublisher(changed), "written since"))
		r.memory.Restore(changed.Copy())
		r.relay.RecordEra(r.memory.Era())
		time.Sleep(2 * watchLimit)
		stored, err := r.publisher.Read(r.ctx)
		requireNoError(t, err)
		_, isKept := stored.Key("written since")
		if stored.Version() != 2 || !isKept {
			t.Errorf("the platform has version %d, with the change since: %t", stored.Version(), isKept)
		}
	})
}

// restoredRelay is an instance that watches a platform with one key.
type restoredRelay struct {
	memory    *lrplatform.Memory
	publisher *Publisher
	follower  *Follower
	relay     *Relay
	ctx       context.Context
	stop      func()
}

func newRestoredRelay(t *testing.T, namesEra bool) *restoredRelay {
	t.Helper()
	r := &restoredRelay{memory: lrplatform.NewMemory()}
	if namesEra {
		r.memory.NameEras()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.ctx, r.publisher = ctx, NewPublisher(r.memory)
	r.stop = func() {
		cancel()
		synctest.Wait()
	}
	requireNoError(t, addKey(ctx, r.publisher, "first"))
	r.follower = NewFollower(zerolog.Nop(), func(invariant string) { t.Errorf("violated: %s", invariant) })
	r.relay = NewRelay(r.follower, boundedWatches{r.memory}, &simPeers{}, loneMember{}, RelayOptions{
		WatchersPerZone: 1, WatchInterval: time.Second, Candidates: func(context.Context) []lrpeer.Member { return loneMember{}.Members() },
		OnPlatform: func() {}, Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	r.relay.RecordEra(r.memory.Era())
	for _, duty := range []func(context.Context) error{r.relay.Start, r.relay.Watch, r.relay.Restore} {
		go func() { _ = duty(ctx) }()
	}
	time.Sleep(10 * time.Second)
	return r
}

// loseKeys adds keys that are lost again with the platform's copy, whose revisions are given out again.
func (r *restoredRelay) loseKeys(t *testing.T, count int) {
	t.Helper()
	older := r.memory.Copy()
	for n := range count {
		requireNoError(t, addKey(r.ctx, r.publisher, fmt.Sprint("lost", n)))
		time.Sleep(time.Second)
	}
	r.memory.Restore(older)
	writeLeases(t, r.memory, "new", 40)
	r.relay.RecordEra(r.memory.Era())
	time.Sleep(2 * watchLimit)
}

// requireKeys checks that the instance and the platform are at the version with so many keys.
func (r *restoredRelay) requireKeys(t *testing.T, count int) {
	t.Helper()
	stored, err := r.publisher.Read(r.ctx)
	requireNoError(t, err)
	for name, snapshot := range map[string]*lrconfig.Snapshot{"platform": stored, "instance": r.follower.Snapshot()} {
		keys := 0
		for _, id := range []string{"first", "lost0", "lost1", "lost2", "next"} {
			if _, ok := snapshot.Key(id); ok {
				keys++
			}
		}
		if snapshot.Version() != uint64(count) || keys != count {
			t.Errorf("the %s is at version %d with %d keys, want %d", name, snapshot.Version(), keys, count)
		}
	}
}
