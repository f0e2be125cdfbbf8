package lrfleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// fakeFeed is a platform whose history can be forgotten and that can be out of reach.
type fakeFeed struct {
	mutex    sync.Mutex
	entries  map[string]string
	revision uint64
	// deaf makes watches hear nothing, and kept is the first revision of the history.
	deaf  bool
	down  bool
	kept  uint64
	lists int
	calls int
}

var errDown = errors.New("down")

func (f *fakeFeed) set(name, value string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.revision++
	if value == "" {
		delete(f.entries, name)
		return
	}
	f.entries[name] = value
}

// change changes what the platform does.
func (f *fakeFeed) change(call func(*fakeFeed)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	call(f)
}

// counts returns the number of lists and of all calls.
func (f *fakeFeed) counts() (lists, calls int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lists, f.calls
}

func (f *fakeFeed) List(context.Context) (Changes[string], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.down {
		return Changes[string]{}, errDown
	}
	f.lists++
	return Changes[string]{Set: maps.Clone(f.entries), Revision: f.revision, Latest: f.revision}, nil
}

func (f *fakeFeed) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[string], error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		changes, done, err := f.look(after)
		if done {
			return changes, err
		}
	}
	return Changes[string]{Revision: after}, ctx.Err()
}

func (f *fakeFeed) look(after uint64) (Changes[string], bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.down:
		f.calls++
		return Changes[string]{}, true, errDown
	case after < f.kept && !f.deaf:
		f.calls++
		return Changes[string]{}, true, ErrHistoryGone.New("test")
	case f.deaf || after >= f.revision:
		return Changes[string]{}, false, nil
	}
	f.calls++
	var deleted []string
	return Changes[string]{Set: maps.Clone(f.entries), Deleted: deleted, Revision: f.revision, Latest: f.revision}, true, nil
}

// followed runs a follower of the feed and returns what it knows.
func followed(ctx context.Context, feed *fakeFeed, options FollowOptions) (*Follower[string], func() string) {
	var mutex sync.Mutex
	var known map[string]string
	options.Delay = func() time.Duration { return 0 }
	options.Watches = func() bool { return true }
	options.Wait = 10 * time.Second
	f := NewFollower(Feed[string](feed), options, zerolog.Nop(), func(_ time.Time, entries map[string]string) {
		mutex.Lock()
		defer mutex.Unlock()
		known = entries
	})
	go func() { _ = f.Run(ctx) }()
	if options.Interval > 0 && !options.IsChanging {
		go func() { _ = f.RunRefresh(ctx) }()
	}
	return f, func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return strings.Join(slices.Sorted(maps.Keys(known)), ",")
	}
}

// TestChangeThatNoWatchTells changes an entry while watches hear nothing, as when the platform forgets its history.
func TestChangeThatNoWatchTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		_, known := followed(ctx, feed, FollowOptions{Interval: 800 * time.Millisecond})
		time.Sleep(time.Second)
		feed.change(func(f *fakeFeed) { f.deaf = true })
		feed.set("b", "1")
		time.Sleep(1500 * time.Millisecond)
		requireEqual(t, "known", known(), "a,b")
		stop()
		time.Sleep(time.Minute)
	})
}

func TestListAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		_, known := followed(ctx, feed, FollowOptions{})
		time.Sleep(time.Second)
		feed.set("b", "1")
		feed.set("a", "")
		feed.change(func(f *fakeFeed) { f.kept = f.revision })
		time.Sleep(time.Second)
		requireEqual(t, "known", known(), "b")
		stop()
		time.Sleep(time.Minute)
	})
}

// TestEntryThatLapsedInAnOutage is believed in for the grace after the platform is back, and gone after that.
func TestEntryThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1", "b": "1"}, revision: 1}
		f, known := followed(ctx, feed, FollowOptions{LapseGrace: 2 * time.Second})
		time.Sleep(time.Second)
		feed.change(func(f *fakeFeed) { f.down = true })
		time.Sleep(3 * time.Second)
		feed.set("a", "")
		feed.change(func(f *fakeFeed) { f.kept, f.down = f.revision, false })
		time.Sleep(1500 * time.Millisecond)
		f.Expire(time.Now())
		requireEqual(t, "known soon after", known(), "a,b")
		time.Sleep(2 * time.Second)
		f.Expire(time.Now())
		requireEqual(t, "known later", known(), "b")
		stop()
		time.Sleep(time.Minute)
	})
}

// TestEntryThatComesBack stays known when it is listed again within the grace.
func TestEntryThatComesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	changes := 0
	f := NewFollower(Feed[string](nil), FollowOptions{LapseGrace: 2 * time.Second}, zerolog.Nop(), func(time.Time, map[string]string) { changes++ })
	f.Replace(now, Changes[string]{Set: map[string]string{"a": "1"}, Latest: 1})
	f.noteFailure(now, errDown)
	f.Replace(now.Add(3*time.Second), Changes[string]{Set: map[string]string{}, Latest: 2})
	f.Replace(now.Add(4*time.Second), Changes[string]{Set: map[string]string{"a": "1"}, Latest: 3})
	f.Expire(now.Add(10 * time.Second))
	requireEqual(t, "entries", len(f.Snapshot().Set), 1)
	requireEqual(t, "changes", changes, 1)
}

// TestFeedReadByOthersIsNotRead makes no calls while other instances tell that they have just read the feed.
func TestFeedReadByOthersIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		f, _ := followed(ctx, feed, FollowOptions{Interval: 500 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		before, _ := feed.counts()
		for range 50 {
			f.NoteReadAge(time.Now(), 0)
			time.Sleep(100 * time.Millisecond)
		}
		lists, _ := feed.counts()
		requireEqual(t, "lists", lists, before)
		time.Sleep(2 * time.Second)
		lists, _ = feed.counts()
		requireEqual(t, "lists after that", lists > before, true)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestUnreachablePlatformIsAskedLess bounds the calls of an instance that the platform turns away.
func TestUnreachablePlatformIsAskedLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{}, down: true}
		f, _ := followed(ctx, feed, FollowOptions{})
		for range 100 {
			f.NoteReadAge(time.Now(), 0)
			time.Sleep(100 * time.Millisecond)
		}
		_, calls := feed.counts()
		requireEqual(t, "at most two calls a second", calls <= 20, true)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestAdoptedListsNeverGoBack takes lists of other instances in any order.
func TestAdoptedListsNeverGoBack(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFollower(Feed[string](nil), FollowOptions{}, zerolog.Nop(), func(time.Time, map[string]string) {})
	f.Adopt(now, Changes[string]{Set: map[string]string{"a": "2"}, Latest: 2})
	requireEqual(t, "an older list is adopted", f.Adopt(now, Changes[string]{Set: map[string]string{"a": "1"}, Latest: 1}), false)
	requireEqual(t, "value", f.Snapshot().Set["a"], "2")
	entries, latest, err := f.Encode()
	requireEqual(t, "error", err, nil)
	other := NewFollower(Feed[string](nil), FollowOptions{}, zerolog.Nop(), func(time.Time, map[string]string) {})
	requireEqual(t, "error", other.Decode(now, entries, latest), nil)
	requireEqual(t, "value at the other", other.Snapshot().Set["a"], "2")
}

// lapsing returns a follower of entries that are believed in for a while after an outage, and what it knows.
func lapsing(now time.Time, names ...string) *Follower[string] {
	f := NewFollower(Feed[string](nil), FollowOptions{IsChanging: true, LapseGrace: 2 * time.Second}, zerolog.Nop(), func(time.Time, map[string]string) {})
	f.Replace(now, listOf(10, names...))
	return f
}

// listOf returns a whole list whose last change was at the revision.
func listOf(latest uint64, names ...string) Changes[string] {
	changes := Changes[string]{Set: map[string]string{}, Revision: latest, Latest: latest}
	for _, n := range names {
		changes.Set[n] = "1"
	}
	return changes
}

func known(f *Follower[string]) string {
	return strings.Join(slices.Sorted(maps.Keys(f.Snapshot().Set)), ",")
}

// TestEntryRemovedWhileOthersRead is gone at once for an instance that the platform turned away while it served others: no
// entry has lapsed meanwhile, so one that is missing was removed.
func TestEntryRemovedWhileOthersRead(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lapsing(now, "a", "b")
	f.noteFailure(now, errDown)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		f.NoteReadAge(now, 50*time.Millisecond)
	}
	f.Replace(now, listOf(11, "a"))
	requireEqual(t, "known", known(f), "a")
}

// TestEntryLapsedWhileNobodyRead is believed in, whether the news come from the platform or from another instance.
func TestEntryLapsedWhileNobodyRead(t *testing.T) {
	now := time.Unix(1000, 0)
	changes := 0
	f := NewFollower(Feed[string](nil), FollowOptions{IsChanging: true, LapseGrace: 2 * time.Second}, zerolog.Nop(),
		func(time.Time, map[string]string) { changes++ })
	f.Replace(now, listOf(10, "a", "b"))
	f.noteFailure(now, errDown)
	now = now.Add(3 * time.Second)
	f.NoteReadAge(now, 50*time.Millisecond)
	f.Adopt(now, listOf(11, "a"))
	f.Expire(now.Add(time.Second))
	requireEqual(t, "changes within the grace", changes, 1)
	f.Expire(now.Add(2 * time.Second))
	requireEqual(t, "changes after it", changes, 2)
	requireEqual(t, "known after it", known(f), "a")
}

// TestRemovalIsTold moves the revision that others compare, although no entry that is left has changed.
func TestRemovalIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lapsing(now, "a", "b")
	f.Replace(now.Add(time.Second), Changes[string]{Set: map[string]string{"a": "1"}, Revision: 12, Latest: 9})
	requireEqual(t, "latest", f.Latest(), uint64(12))
}

// TestLapsedEntryIsNotHandedOn lets an instance that has dropped an entry adopt the list of one that still believes in it.
func TestLapsedEntryIsNotHandedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	waiting, dropped := lapsing(now, "a", "b"), lapsing(now, "a", "b")
	dropped.Replace(now.Add(time.Second), listOf(11, "a"))
	waiting.noteFailure(now, errDown)
	waiting.Replace(now.Add(3*time.Second), listOf(12, "a", "c"))
	entries, latest, err := waiting.Encode()
	requireEqual(t, "error", err, nil)
	requireEqual(t, "error", dropped.Decode(now.Add(3*time.Second), entries, latest), nil)
	requireEqual(t, "known", known(dropped), "a,c")
}

// TestAdoptedListIsFetchedOnce catches up with a revision that brought no change, as by an entry that cannot be read.
func TestAdoptedListIsFetchedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lapsing(now, "a")
	f.Adopt(now, listOf(15, "a"))
	requireEqual(t, "latest", f.Latest(), uint64(15))
}

// TestWatchInProgressCountsAsReading lets one instance watch a feed without changes, so that the others need not.
func TestWatchInProgressCountsAsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		f, _ := followed(ctx, feed, FollowOptions{IsChanging: true, Interval: 400 * time.Millisecond})
		time.Sleep(time.Second)
		requireEqual(t, "age while a watch waits", f.ReadAge(time.Now()), 0)
		feed.change(func(f *fakeFeed) { f.down = true })
		time.Sleep(2 * time.Second)
		requireEqual(t, "age while the platform does not answer", f.ReadAge(time.Now()) > time.Second, true)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestFeedIsListedOnceAtTheStart does not refresh the list that following it has just read.
func TestFeedIsListedOnceAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		_, _ = followed(ctx, feed, FollowOptions{Interval: 800 * time.Millisecond})
		time.Sleep(500 * time.Millisecond)
		lists, _ := feed.counts()
		requireEqual(t, "lists", lists, 1)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestEntryLapsedForAnInstanceThatWaitedForItsTurn is believed in by an instance that has made no call in the outage and first
// hears of its end with the list of another one.
func TestEntryLapsedForAnInstanceThatWaitedForItsTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lapsing(now, "a", "b")
	changes := 0
	f.onChange = func(time.Time, map[string]string) { changes++ }
	now = now.Add(3 * time.Second)
	f.Adopt(now, listOf(11, "a"))
	f.Adopt(now.Add(100*time.Millisecond), listOf(12, "a"))
	f.NoteReadAge(now.Add(100*time.Millisecond), 50*time.Millisecond)
	f.Expire(now.Add(time.Second))
	requireEqual(t, "changes within the grace", changes, 0)
	f.Expire(now.Add(3 * time.Second))
	requireEqual(t, "known after it", known(f), "a")
	requireEqual(t, "changes after it", changes, 1)
}

// TestEntryRemovedAfterAReaderDied is gone at once, although it took a moment until the next instance read the list.
func TestEntryRemovedAfterAReaderDied(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lapsing(now, "a", "b")
	now = now.Add(1500 * time.Millisecond)
	f.Adopt(now, listOf(11, "a"))
	requireEqual(t, "known", known(f), "a")
}

// TestHangingWatchesAreNoReadings has instances take turns with watches that a platform does not answer, as while it is cut off. None of
// them reads the feed, so that entries that lapse meanwhile are believed in when the platform is back.
func TestHangingWatchesAreNoReadings(t *testing.T) {
	const turn = 600 * time.Millisecond
	now := time.Unix(1000, 0)
	followers := []*Follower[string]{lapsing(now, "a", "b"), lapsing(now, "a", "b"), lapsing(now, "a", "b"), lapsing(now, "a", "b")}
	for _, f := range followers {
		f.options.Wait = 800 * time.Millisecond
	}
	for n := range 6 {
		reader := followers[n%len(followers)]
		began := now.Add(time.Duration(n+2) * turn)
		reader.noteWatch(began)
		for _, f := range followers {
			f.NoteReadAge(began.Add(turn/2), reader.ReadAge(began.Add(turn/2)))
		}
	}
	back := now.Add(8 * turn)
	for _, f := range followers {
		f.Replace(back, listOf(11, "a"))
		f.Expire(back.Add(time.Second))
		requireEqual(t, "removed within the grace", strings.Join(slices.Sorted(maps.Keys(f.entries)), ","), "a,b")
	}
}

// TestNextWatchOfAReaderIsAReading counts the watch that follows on an answer at once.
func TestNextWatchOfAReaderIsAReading(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lapsing(now, "a")
	f.options.Wait = 800 * time.Millisecond
	f.noteWatch(now.Add(400 * time.Millisecond))
	requireEqual(t, "age in a watch that follows on an answer", f.ReadAge(now.Add(time.Second)), 0)
	f.noteWatch(now.Add(2 * time.Second))
	requireEqual(t, "age in a watch without an answer before it", f.ReadAge(now.Add(2100*time.Millisecond)), 2100*time.Millisecond)
}
