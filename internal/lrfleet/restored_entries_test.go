package lrfleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// newStartedFollower returns a follower of an instance that has started after the store came back, and has read the given servers of the copy.
func newStartedFollower(r *restoringFollower, servers ...Server) *restoringFollower {
	started := &restoringFollower{now: r.now}
	started.Follower = NewFollower(Feed[Server](nil), r.options, zerolog.Nop(), func(_ time.Time, servers map[string]Server) { started.used = servers })
	started.list(50, later, servers...)
	return started
}

// tell sends what the instance knows of restored entries to the other one, in the form of a message.
func (r *restoringFollower) tell(other *restoringFollower) {
	const feed = "servers"
	s := &Sharer{SharerDependencies: SharerDependencies{Feeds: map[string]SharedFeed{feed: other}}}
	s.recordRestored(other.now, encodeRestored(feed, r.RestoredEntries(r.now)))
}

// TestInstanceThatStartsAfterRestoreIsTold guards against instances that start after the store has come back from a copy and send requests to
// servers that have left, were removed or have started anew since: only those that ran before know it.
func TestInstanceThatStartsAfterRestoreIsTold(t *testing.T) {
	copied := []Server{server("a", 1), server("leaves", 1), server("removed", 1), server("restarts", 1), server("weights", 1).WithVersion("m", 3)}
	newOld := func() *restoringFollower {
		r := newRestoringFollower(server("a", 1), leaving("leaves", 1), server("removed", 1), server("restarts", 2), server("weights", 1).WithVersion("m", 4))
		r.list(101, earlier, server("a", 1), leaving("leaves", 1), server("restarts", 2), server("weights", 1).WithVersion("m", 4))
		r.list(50, later, copied...)
		return r
	}
	t.Run("told", func(t *testing.T) {
		old := newOld()
		started := newStartedFollower(old, copied...)
		requireEqual(t, "in use before", started.inUse(), "a,leaves,removed,restarts,weights")
		old.tell(started)
		requireEqual(t, "in use", started.inUse(), old.inUse())
		requireEqual(t, "in use by all", started.inUse(), "a,restarts,weights")
		requireEqual(t, "start in use", started.used["restarts"].Incarnation, int64(2))
		requireEqual(t, "weights in use", started.used["weights"].Versions["m"], int64(4))
	})
	t.Run("told by one that was told", func(t *testing.T) {
		old := newOld()
		second, third := newStartedFollower(old, copied...), newStartedFollower(old, copied...)
		old.tell(second)
		second.tell(third)
		requireEqual(t, "in use", third.inUse(), "a,restarts,weights")
	})
	t.Run("written again", func(t *testing.T) {
		old := newOld()
		started := newStartedFollower(old, copied...)
		old.tell(started)
		started.list(51, later, server("a", 1), leaving("leaves", 1), server("removed", 3), server("restarts", 2))
		requireEqual(t, "in use", started.inUse(), "a,removed,restarts")
	})
	t.Run("not kept alive", func(t *testing.T) {
		old := newOld()
		second, third := newStartedFollower(old, copied...), newStartedFollower(old, copied...)
		old.tell(second)
		for _, f := range []*restoringFollower{old, second, third} {
			f.wait(restoreGrace - time.Millisecond)
		}
		second.tell(third)
		second.wait(time.Millisecond)
		third.now = third.now.Add(-time.Millisecond)
		third.tell(second)
		requireEqual(t, "in use", second.inUse(), "a,leaves,removed,restarts,weights")
	})
	t.Run("knows itself", func(t *testing.T) {
		old := newOld()
		other := newRestoringFollower(server("a", 1), server("leaves", 1), server("removed", 1))
		other.list(50, later, copied...)
		old.tell(other)
		requireEqual(t, "in use", other.inUse(), "a,leaves,removed")
	})
	t.Run("only taken for removed", func(t *testing.T) {
		old := newRestoringFollower(server("a", 1))
		old.list(50, later, server("a", 1), server("unknown", 1))
		requireEqual(t, "entries told", len(old.RestoredEntries(old.now)), 0)
	})
}
