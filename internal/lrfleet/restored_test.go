package lrfleet

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const (
	// restoreGrace is the grace period of the tests, and earlier an era of the store that later follows.
	restoreGrace   = 5 * time.Second
	earlier, later = 1, 2
)

// restoringFollower follows servers, of which it knows the given ones at revision 100 of an earlier era.
type restoringFollower struct {
	*Follower[Server]
	now  time.Time
	used map[string]Server
}

func newRestoringFollower(known ...Server) *restoringFollower {
	r := &restoringFollower{now: time.Unix(1000, 0)}
	options := FollowerOptions[Server]{IsChanging: true, LapseGrace: 2 * time.Second, Restore: &RestorePolicy[Server]{
		Grace: restoreGrace, Merge: LaterServer, IsSameStart: func(removed, listed Server) bool { return listed.Incarnation <= removed.Incarnation },
		IsLaterStart: func(known, listed Server) bool { return listed.Incarnation > known.Incarnation },
	}}
	r.Follower = NewFollower(Feed[Server](nil), options, zerolog.Nop(), func(_ time.Time, servers map[string]Server) { r.used = servers })
	r.list(100, earlier, known...)
	return r
}

// list applies a list of the store.
func (r *restoringFollower) list(revision, era uint64, servers ...Server) {
	changes := Changes[Server]{Set: map[string]Server{}, Revision: revision, Era: era}
	for _, s := range servers {
		changes.Set[s.ID] = s
	}
	r.Replace(r.now, changes)
}

// wait lets time pass.
func (r *restoringFollower) wait(d time.Duration) {
	r.now = r.now.Add(d)
	r.Expire(r.now)
}

// inUse lists the servers that take requests.
func (r *restoringFollower) inUse() string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(r.used)) {
		if !r.used[id].IsLeaving {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, ",")
}

func server(id string, born int64) Server { return Server{ID: id, Incarnation: born} }

func leaving(id string, born int64) Server { return Server{ID: id, Incarnation: born, IsLeaving: true} }

// TestServersOfAnOlderCopyAreNotUsed restores the store from a copy from before servers said that they leave or were removed. They got requests
// again until their entries were written again or had expired.
func TestServersOfAnOlderCopyAreNotUsed(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), leaving("b", 1))
		r.list(50, later, server("a", 1), server("b", 1))
		requireEqual(t, "in use", r.inUse(), "a")
		r.list(52, later, server("a", 1), leaving("b", 1))
		r.wait(restoreGrace)
		requireEqual(t, "in use later", r.inUse(), "a")
	})
	t.Run("removed", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), server("b", 1))
		r.list(101, earlier, server("a", 1))
		r.list(50, later, server("a", 1), server("b", 1))
		requireEqual(t, "in use", r.inUse(), "a")
		r.list(51, later, server("a", 1), server("b", 1), server("c", 1))
		requireEqual(t, "in use after another list", r.inUse(), "a,c")
	})
	t.Run("removed before this instance started", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), server("c", 3))
		r.list(50, later, server("a", 1), server("b", 2), server("d", 4))
		requireEqual(t, "in use", r.inUse(), "a,c,d")
		r.wait(restoreGrace)
		requireEqual(t, "in use after the grace", r.inUse(), "a,b,d")
	})
	t.Run("removed and copied twice", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), leaving("b", 1), server("c", 1))
		r.list(101, earlier, server("a", 1), leaving("b", 1))
		r.list(50, later, server("a", 1), server("b", 1), server("c", 1))
		r.wait(time.Second)
		r.list(50, later+1, server("a", 1), server("b", 1), server("c", 1))
		requireEqual(t, "in use", r.inUse(), "a")
	})
	t.Run("started anew", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), leaving("b", 1))
		r.list(101, earlier, server("a", 2))
		r.list(50, later, server("a", 1), server("b", 7))
		requireEqual(t, "in use", r.inUse(), "a,b")
		requireEqual(t, "start in use", r.used["a"].Incarnation, int64(2))
	})
	t.Run("weights", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1).WithVersion("m", 4))
		r.list(50, later, server("a", 1).WithVersion("m", 3))
		requireEqual(t, "version", r.used["a"].Versions["m"], int64(4))
	})
}

// TestServerIsUsedOnceItsEntryIsNoCopy checks that a server which is listed in spite of all when the grace period is over gets requests: its
// entry was removed though it goes on running, or it stays after all.
func TestServerIsUsedOnceItsEntryIsNoCopy(t *testing.T) {
	r := newRestoringFollower(leaving("a", 1), server("b", 1))
	r.list(101, earlier, leaving("a", 1))
	r.list(50, later, server("a", 1), server("b", 1))
	requireEqual(t, "in use", r.inUse(), "")
	r.wait(restoreGrace)
	requireEqual(t, "in use after the grace", r.inUse(), "a,b")
}

// TestServerThatTheCopyLacksIsUsed restores the store from a copy from before a server was registered. It was dropped until its next heartbeat
// though it runs.
func TestServerThatTheCopyLacksIsUsed(t *testing.T) {
	r := newRestoringFollower(server("a", 1), server("b", 1))
	r.list(50, later, server("a", 1))
	requireEqual(t, "in use", r.inUse(), "a,b")
	r.wait(time.Second)
	r.list(51, later, server("a", 1), server("b", 1))
	r.wait(restoreGrace)
	requireEqual(t, "in use later", r.inUse(), "a,b")
}

// TestLatestEntryIsKeptOverAnOlderCopy restores the store from a copy that holds an earlier version of an entry that never goes back. An instance
// that has started since knew only the earlier one, also with nothing written to the store meanwhile.
func TestLatestEntryIsKeptOverAnOlderCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	newFollower := func() *Follower[string] {
		options := FollowerOptions[string]{Latest: func(known, listed string) string { return max(known, listed) }}
		return NewFollower(Feed[string](nil), options, zerolog.Nop(), func(time.Time, map[string]string) {})
	}
	old, started := newFollower(), newFollower()
	list := func(f *Follower[string], revision, era uint64, value string) {
		f.Replace(now, Changes[string]{Set: map[string]string{"main": value}, Revision: revision, Era: era})
	}
	list(old, 100, earlier, "v20")
	list(old, 50, later, "v17")
	list(started, 50, later, "v17")
	requireEqual(t, "value of the one that knew it", old.Snapshot().Set["main"], "v20")
	requireEqual(t, "the started one is behind", started.RecordReport(now, old.Version(), 0), true)
	entries, version, err := old.Encode()
	requireEqual(t, "error", err, nil)
	requireEqual(t, "error", started.Decode(now, entries, version), nil)
	requireEqual(t, "value of the started one", started.Snapshot().Set["main"], "v20")
	requireEqual(t, "still behind", started.IsBehind(old.Version()) || old.IsBehind(started.Version()), false)
	list(started, 60, later, "v21")
	requireEqual(t, "value after the next version", started.Snapshot().Set["main"], "v21")
}

// TestRewindIsToldBeforeItsEntries checks that those who use the entries learn that the store has come back from an older copy before they get
// what it lists, and that they get it although nothing has changed: a roll-out would otherwise take what the copy lacks for the operator's word.
func TestRewindIsToldBeforeItsEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	var calls []string
	options := FollowerOptions[string]{OnRewind: func(time.Time) { calls = append(calls, "rewind") }}
	f := NewFollower(Feed[string](nil), options, zerolog.Nop(), func(time.Time, map[string]string) { calls = append(calls, "change") })
	for n, era := range []uint64{earlier, earlier, later} {
		f.Replace(now, Changes[string]{Set: map[string]string{"a": "1"}, Revision: uint64(100 - 10*(n/2)), Era: era})
	}
	requireEqual(t, "calls", strings.Join(calls, ","), "change,rewind,change")
}

// TestEqualEntriesOfALaterEraAreFetched reports a later era with equal entries. The own version was raised to it, so that nobody learned that
// the store had come back from an older copy: a decision on a roll-out that the copy lacks was not stored again, and the order began anew.
func TestEqualEntriesOfALaterEraAreFetched(t *testing.T) {
	now, rewinds := time.Unix(1000, 0), 0
	newFollower := func() *Follower[string] {
		options := FollowerOptions[string]{OnRewind: func(time.Time) { rewinds++ }}
		return NewFollower(Feed[string](nil), options, zerolog.Nop(), func(time.Time, map[string]string) {})
	}
	f, other := newFollower(), newFollower()
	entries := map[string]string{"a": "1"}
	f.Replace(now, Changes[string]{Set: entries, Revision: 97, Era: earlier})
	other.Replace(now, Changes[string]{Set: entries, Revision: 90, Era: later})
	requireEqual(t, "behind", f.RecordReport(now, other.Version(), 0), true)
	encoded, version, err := other.Encode()
	requireEqual(t, "error", err, nil)
	requireEqual(t, "error", f.Decode(now, encoded, version), nil)
	requireEqual(t, "version", f.Version(), other.Version())
	requireEqual(t, "rewinds that are told", rewinds, 1)
	requireEqual(t, "behind later", f.RecordReport(now, other.Version(), 0), false)
}

// TestServerWrittenAgainIsUsed removes a server that the older copy does not list, since its entry had lapsed. It was kept out of use when it
// wrote its entry again, as if the copy had shown it.
func TestServerWrittenAgainIsUsed(t *testing.T) {
	t.Run("lapsed before", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), server("b", 1))
		r.list(101, earlier, server("a", 1))
		r.wait(10 * time.Second)
		r.list(90, later, server("a", 1))
		r.list(92, later, server("a", 1), server("b", 1))
		requireEqual(t, "in use", r.inUse(), "a,b")
	})
	t.Run("lapsed between two copies", func(t *testing.T) {
		r := newRestoringFollower(server("a", 1), server("b", 1))
		r.list(50, later, server("a", 1))
		for range 25 {
			r.wait(100 * time.Millisecond)
		}
		r.list(50, later+1, server("a", 1))
		r.list(52, later+1, server("a", 1), server("b", 1))
		requireEqual(t, "in use", r.inUse(), "a,b")
	})
}

// TestFirstEraIsNoRewind takes entries over from an instance of an earlier version, which reports no era, and then reads the store. Each start in
// a rolling upgrade looked like a store that has gone back, and kept servers that had been removed.
func TestFirstEraIsNoRewind(t *testing.T) {
	r := newRestoringFollower()
	r.Follower = NewFollower(r.feed, r.options, zerolog.Nop(), func(_ time.Time, servers map[string]Server) { r.used = servers })
	set := map[string]Server{"a": server("a", 1), "b": server("b", 1)}
	r.ReplaceFromPeer(r.now, FeedVersion{Revision: 100}, Changes[Server]{Set: set})
	r.list(101, later, server("a", 1))
	requireEqual(t, "in use", r.inUse(), "a")
}

// TestEqualEntryOfAnotherSoftwareStays merges entries of two instances that are as late, of which one does not know a field. They exchanged the
// fuller entry for the other one, again and again.
func TestEqualEntryOfAnotherSoftwareStays(t *testing.T) {
	now := time.Unix(1000, 0)
	newFollower := func(value string) *Follower[string] {
		options := FollowerOptions[string]{Latest: func(known, listed string) string {
			if known[:2] > listed[:2] {
				return known
			}
			return listed
		}}
		f := NewFollower(Feed[string](nil), options, zerolog.Nop(), func(time.Time, map[string]string) {})
		f.Replace(now, Changes[string]{Set: map[string]string{"main": value}, Revision: 50, Era: later})
		return f
	}
	fuller, other := newFollower("20 with a field"), newFollower("20")
	version := other.Version()
	requireEqual(t, "behind", fuller.IsBehind(version), true)
	fuller.ReplaceFromPeer(now, version, Changes[string]{Set: map[string]string{"main": "20"}})
	requireEqual(t, "entry", fuller.Snapshot().Set["main"], "20 with a field")
	requireEqual(t, "behind after the merge", fuller.IsBehind(version), false)
}

// TestGraceCountsFromReturnOfStore guards against servers that stay in use though they are gone: the list of servers was read up to 0.9 s after
// the store had come back, and the time in which missing entries are kept counted from then, and anew with each report of a later read.
func TestGraceCountsFromReturnOfStore(t *testing.T) {
	const learned, grace = 900 * time.Millisecond, 2 * time.Second
	newOutdated := func() *restoringFollower {
		r := newRestoringFollower(server("a", 1), server("b", 1))
		r.options.Eras = &EraTimes{}
		r.now = r.now.Add(outageAfter + time.Second)
		r.options.Eras.Record(r.now, later)
		return r
	}
	requireGone := func(t *testing.T, r *restoringFollower) {
		t.Helper()
		r.wait(grace - learned - time.Millisecond)
		requireEqual(t, "in use until the grace is over", r.inUse(), "a,b")
		r.wait(time.Millisecond)
		requireEqual(t, "in use after it", r.inUse(), "a")
	}
	t.Run("listed late", func(t *testing.T) {
		r := newOutdated()
		r.wait(learned)
		r.list(50, later, server("a", 1))
		requireGone(t, r)
	})
	t.Run("taken over late", func(t *testing.T) {
		r := newOutdated()
		r.wait(learned)
		version := FeedVersion{Era: later, Revision: 50}
		r.ReplaceFromPeer(r.now, version, Changes[Server]{Set: map[string]Server{"a": server("a", 1)}})
		r.RecordReport(r.now.Add(100*time.Millisecond), r.Version(), 0)
		version.Revision++
		r.ReplaceFromPeer(r.now.Add(200*time.Millisecond), version, Changes[Server]{Set: map[string]Server{"a": server("a", 1)}})
		requireGone(t, r)
	})
	t.Run("learned from another instance", func(t *testing.T) {
		r := newOutdated()
		r.options.Eras = &EraTimes{}
		r.RecordReport(r.now, FeedVersion{Era: later, Revision: 50, Digest: 1}, time.Hour)
		r.wait(learned)
		r.list(50, later, server("a", 1))
		requireGone(t, r)
	})
	t.Run("era falls", func(t *testing.T) {
		r := newOutdated()
		r.list(50, later, server("a", 1), server("b", 1))
		r.wait(time.Minute)
		r.list(50, earlier, server("a", 1))
		r.wait(grace - time.Millisecond)
		requireEqual(t, "in use until the grace is over", r.inUse(), "a,b")
		r.wait(time.Millisecond)
		requireEqual(t, "in use after it", r.inUse(), "a")
	})
}
