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

// fakeFeed is a platform that can lose its history and become unreachable.
type fakeFeed struct {
	mutex    sync.Mutex
	entries  map[string]string
	revision uint64
	// watchesHang makes watches wait without an answer. oldest is the first revision of the history that is still available.
	watchesHang bool
	down        bool
	oldest      uint64
	lists       int
	calls       int
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

// change changes the state of the platform.
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
	return Changes[string]{Set: maps.Clone(f.entries), Revision: f.revision}, nil
}

func (f *fakeFeed) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[string], error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		changes, done, err := f.poll(after)
		if done {
			return changes, err
		}
	}
	return Changes[string]{Revision: after}, ctx.Err()
}

func (f *fakeFeed) poll(after uint64) (Changes[string], bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.down:
		f.calls++
		return Changes[string]{}, true, errDown
	case after < f.oldest && !f.watchesHang:
		f.calls++
		return Changes[string]{}, true, ErrHistoryGone.New("test")
	case f.watchesHang || after >= f.revision:
		return Changes[string]{}, false, nil
	}
	f.calls++
	var deleted []string
	return Changes[string]{Set: maps.Clone(f.entries), Deleted: deleted, Revision: f.revision}, true, nil
}

// followed runs a follower of the feed. The function that it returns lists the names of the known entries.
func followed(ctx context.Context, feed *fakeFeed, options FollowerOptions[string]) (*Follower[string], func() string) {
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

// TestRefreshFindsChangeMissedByWatch changes an entry while watches return nothing, as when the platform loses its history. The periodic
// list finds the change.
func TestRefreshFindsChangeMissedByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		_, known := followed(ctx, feed, FollowerOptions[string]{Interval: 800 * time.Millisecond})
		time.Sleep(time.Second)
		feed.change(func(f *fakeFeed) { f.watchesHang = true })
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
		_, known := followed(ctx, feed, FollowerOptions[string]{})
		time.Sleep(time.Second)
		feed.set("b", "1")
		feed.set("a", "")
		feed.change(func(f *fakeFeed) { f.oldest = f.revision })
		time.Sleep(time.Second)
		requireEqual(t, "known", known(), "b")
		stop()
		time.Sleep(time.Minute)
	})
}

// TestEntryLapsedInOutageExpiresAfterGrace removes an entry during an outage. It is kept for the grace period after the platform has
// recovered, and then removed.
func TestEntryLapsedInOutageExpiresAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1", "b": "1"}, revision: 1}
		f, known := followed(ctx, feed, FollowerOptions[string]{LapseGrace: 2 * time.Second})
		time.Sleep(time.Second)
		feed.change(func(f *fakeFeed) { f.down = true })
		time.Sleep(3 * time.Second)
		feed.set("a", "")
		feed.change(func(f *fakeFeed) { f.oldest, f.down = f.revision, false })
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

// TestEntryListedAgainWithinGraceStays checks that an entry which is listed again within the grace period is never removed.
func TestEntryListedAgainWithinGraceStays(t *testing.T) {
	now := time.Unix(1000, 0)
	changes := 0
	f := NewFollower(Feed[string](nil), FollowerOptions[string]{LapseGrace: 2 * time.Second}, zerolog.Nop(), func(time.Time, map[string]string) { changes++ })
	f.Replace(now, Changes[string]{Set: map[string]string{"a": "1"}, Revision: 1})
	f.recordFailure(now, errDown)
	f.Replace(now.Add(3*time.Second), Changes[string]{Set: map[string]string{}, Revision: 2})
	f.Replace(now.Add(4*time.Second), Changes[string]{Set: map[string]string{"a": "1"}, Revision: 3})
	f.Expire(now.Add(10 * time.Second))
	requireEqual(t, "entries", len(f.Snapshot().Set), 1)
	requireEqual(t, "changes", changes, 1)
}

// TestFeedReadByOthersIsNotRead checks that an instance lists nothing while others report that they have just read the feed.
func TestFeedReadByOthersIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		f, _ := followed(ctx, feed, FollowerOptions[string]{Interval: 500 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		before, _ := feed.counts()
		for range 50 {
			readElsewhere(f, time.Now(), 0)
			time.Sleep(100 * time.Millisecond)
		}
		lists, _ := feed.counts()
		requireEqual(t, "lists", lists, before)
		time.Sleep(2 * time.Second)
		lists, _ = feed.counts()
		requireEqual(t, "lists after the last report", lists > before, true)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestBackoffLimitsCallsToUnreachablePlatform bounds the calls of an instance that gets errors from the platform while others can read
// the feed.
func TestBackoffLimitsCallsToUnreachablePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{}, down: true}
		f, _ := followed(ctx, feed, FollowerOptions[string]{})
		f.ReplaceFromPeer(time.Now(), FeedVersion{Revision: 1}, listOf(1))
		for range 100 {
			readElsewhere(f, time.Now(), 0)
			time.Sleep(100 * time.Millisecond)
		}
		_, calls := feed.counts()
		requireEqual(t, "at most two calls a second", calls <= 20, true)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestListsFromPeersNeverGoBack checks that an older list of another instance is ignored and that a list survives Encode and Decode.
func TestListsFromPeersNeverGoBack(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFollower(Feed[string](nil), FollowerOptions[string]{}, zerolog.Nop(), func(time.Time, map[string]string) {})
	f.ReplaceFromPeer(now, FeedVersion{Revision: 2}, Changes[string]{Set: map[string]string{"a": "2"}})
	requireEqual(t, "an older list is applied", f.ReplaceFromPeer(now, FeedVersion{Revision: 1}, Changes[string]{Set: map[string]string{"a": "1"}}), false)
	requireEqual(t, "value", f.Snapshot().Set["a"], "2")
	entries, version, err := f.Encode()
	requireEqual(t, "error", err, nil)
	other := NewFollower(Feed[string](nil), FollowerOptions[string]{}, zerolog.Nop(), func(time.Time, map[string]string) {})
	requireEqual(t, "error", other.Decode(now, entries, version), nil)
	requireEqual(t, "value on the other instance", other.Snapshot().Set["a"], "2")
}

// followerWithGrace returns a follower of the named entries, which has a grace period of two seconds after an outage.
func followerWithGrace(now time.Time, names ...string) *Follower[string] {
	f := NewFollower(Feed[string](nil), FollowerOptions[string]{IsChanging: true, LapseGrace: 2 * time.Second}, zerolog.Nop(), func(time.Time, map[string]string) {})
	f.Replace(now, listOf(10, names...))
	return f
}

// listOf returns a list of all entries at the revision.
func listOf(revision uint64, names ...string) Changes[string] {
	changes := Changes[string]{Set: map[string]string{}, Revision: revision}
	for _, n := range names {
		changes.Set[n] = "1"
	}
	return changes
}

// readElsewhere reports a read by another instance that holds the same entries.
func readElsewhere(f *Follower[string], now time.Time, age time.Duration) {
	f.RecordReport(now, f.Version(), age)
}

func ageOf(f *Follower[string], now time.Time) time.Duration {
	_, age := f.Report(now)
	return age
}

func known(f *Follower[string]) string {
	return strings.Join(slices.Sorted(maps.Keys(f.Snapshot().Set)), ",")
}

// TestEntryRemovedWhileOthersRead checks that an entry is removed at once on an instance that could not reach the platform while others
// could: no entry can have lapsed meanwhile, so a missing one was removed.
func TestEntryRemovedWhileOthersRead(t *testing.T) {
	now := time.Unix(1000, 0)
	f := followerWithGrace(now, "a", "b")
	f.recordFailure(now, errDown)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		readElsewhere(f, now, 50*time.Millisecond)
	}
	f.Replace(now, listOf(11, "a"))
	requireEqual(t, "known", known(f), "a")
}

// TestEntryLapsedWhileNobodyRead checks that a lapsed entry is kept for the grace period when the end of the outage is first seen by
// another instance, whose list shows that the entry is gone.
func TestEntryLapsedWhileNobodyRead(t *testing.T) {
	now := time.Unix(1000, 0)
	changes := 0
	f := NewFollower(Feed[string](nil), FollowerOptions[string]{IsChanging: true, LapseGrace: 2 * time.Second}, zerolog.Nop(),
		func(time.Time, map[string]string) { changes++ })
	f.Replace(now, listOf(10, "a", "b"))
	f.recordFailure(now, errDown)
	now = now.Add(3 * time.Second)
	readElsewhere(f, now, 50*time.Millisecond)
	f.ReplaceFromPeer(now, FeedVersion{Revision: 11}, listOf(11, "a"))
	f.Expire(now.Add(time.Second))
	requireEqual(t, "changes within the grace", changes, 1)
	f.Expire(now.Add(2 * time.Second))
	requireEqual(t, "changes after the grace", changes, 2)
	requireEqual(t, "known after the grace", known(f), "a")
}

// TestRemovalChangesVersion checks that a removal changes the version that instances compare, although no remaining entry has changed.
func TestRemovalChangesVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	f := followerWithGrace(now, "a", "b")
	before := f.Version()
	f.Replace(now.Add(time.Second), listOf(12, "a"))
	requireEqual(t, "revision", f.Version().Revision, uint64(12))
	requireEqual(t, "supersedes the version before", f.Version().supersedes(before), true)
}

// TestLapsedEntryIsNotSentToPeers applies the list of an instance that still keeps a lapsed entry on one that has removed it.
func TestLapsedEntryIsNotSentToPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	waiting, dropped := followerWithGrace(now, "a", "b"), followerWithGrace(now, "a", "b")
	dropped.Replace(now.Add(time.Second), listOf(11, "a"))
	waiting.recordFailure(now, errDown)
	waiting.Replace(now.Add(3*time.Second), listOf(12, "a", "c"))
	entries, version, err := waiting.Encode()
	requireEqual(t, "error", err, nil)
	requireEqual(t, "error", dropped.Decode(now.Add(3*time.Second), entries, version), nil)
	requireEqual(t, "known", known(dropped), "a,c")
}

// TestListFromPeerIsFetchedOnce applies a list whose revision brings no change, as with an entry that cannot be decoded. The revision
// must advance, or the list would be fetched again and again.
func TestListFromPeerIsFetchedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := followerWithGrace(now, "a")
	f.ReplaceFromPeer(now, FeedVersion{Revision: 15}, listOf(15, "a"))
	requireEqual(t, "revision", f.Version().Revision, uint64(15))
}

// TestWatchInProgressCountsAsRead checks that a waiting watch on a feed without changes counts as a read, so that other instances need
// not read the feed.
func TestWatchInProgressCountsAsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		f, _ := followed(ctx, feed, FollowerOptions[string]{IsChanging: true, Interval: 400 * time.Millisecond})
		time.Sleep(time.Second)
		requireEqual(t, "age while a watch waits", ageOf(f, time.Now()), 0)
		feed.change(func(f *fakeFeed) { f.down = true })
		time.Sleep(2 * time.Second)
		requireEqual(t, "age while the platform does not answer", ageOf(f, time.Now()) > time.Second, true)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestFeedIsListedOnceAtTheStart checks that the refresh does not repeat the list with which Run begins.
func TestFeedIsListedOnceAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		feed := &fakeFeed{entries: map[string]string{"a": "1"}, revision: 1}
		_, _ = followed(ctx, feed, FollowerOptions[string]{Interval: 800 * time.Millisecond})
		time.Sleep(500 * time.Millisecond)
		lists, _ := feed.counts()
		requireEqual(t, "lists", lists, 1)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestOutageDetectedWhileWaitingForSlot checks that an instance which made no call during an outage, and first learns of its end from the
// list of another instance, keeps lapsed entries for the grace period.
func TestOutageDetectedWhileWaitingForSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	f := followerWithGrace(now, "a", "b")
	changes := 0
	f.onChange = func(time.Time, map[string]string) { changes++ }
	now = now.Add(3 * time.Second)
	f.ReplaceFromPeer(now, FeedVersion{Revision: 11}, listOf(11, "a"))
	f.ReplaceFromPeer(now.Add(100*time.Millisecond), FeedVersion{Revision: 12}, listOf(12, "a"))
	readElsewhere(f, now.Add(100*time.Millisecond), 50*time.Millisecond)
	f.Expire(now.Add(time.Second))
	requireEqual(t, "changes within the grace", changes, 0)
	f.Expire(now.Add(3 * time.Second))
	requireEqual(t, "known after the grace", known(f), "a")
	requireEqual(t, "changes after the grace", changes, 1)
}

// TestEntryRemovedAfterAReaderDied checks that an entry is removed at once although it took a moment until another instance read the
// list.
func TestEntryRemovedAfterAReaderDied(t *testing.T) {
	now := time.Unix(1000, 0)
	f := followerWithGrace(now, "a", "b")
	now = now.Add(1500 * time.Millisecond)
	f.ReplaceFromPeer(now, FeedVersion{Revision: 11}, listOf(11, "a"))
	requireEqual(t, "known", known(f), "a")
}

// TestHangingWatchesDoNotCountAsReads has instances watch in rotation while the platform does not answer, as during a partition. None of
// them reads the feed, so entries that lapse meanwhile are kept for the grace period when the platform is reachable again.
func TestHangingWatchesDoNotCountAsReads(t *testing.T) {
	const slot = 600 * time.Millisecond
	now := time.Unix(1000, 0)
	followers := []*Follower[string]{followerWithGrace(now, "a", "b"), followerWithGrace(now, "a", "b"), followerWithGrace(now, "a", "b"), followerWithGrace(now, "a", "b")}
	for _, f := range followers {
		f.options.Wait = 800 * time.Millisecond
	}
	for n := range 6 {
		reader := followers[n%len(followers)]
		began := now.Add(time.Duration(n+2) * slot)
		reader.recordWatch(began)
		for _, f := range followers {
			readElsewhere(f, began.Add(slot/2), ageOf(reader, began.Add(slot/2)))
		}
	}
	recovered := now.Add(8 * slot)
	for _, f := range followers {
		f.Replace(recovered, listOf(11, "a"))
		f.Expire(recovered.Add(time.Second))
		requireEqual(t, "removed within the grace", strings.Join(slices.Sorted(maps.Keys(f.entries)), ","), "a,b")
	}
}

// TestWatchAfterAnswerCountsAsRead checks that a watch counts as a read only when it directly follows an answer.
func TestWatchAfterAnswerCountsAsRead(t *testing.T) {
	now := time.Unix(1000, 0)
	f := followerWithGrace(now, "a")
	f.options.Wait = 800 * time.Millisecond
	f.recordWatch(now.Add(400 * time.Millisecond))
	requireEqual(t, "age in a watch that follows an answer", ageOf(f, now.Add(time.Second)), 0)
	f.recordWatch(now.Add(2 * time.Second))
	requireEqual(t, "age in a watch without an answer before it", ageOf(f, now.Add(2100*time.Millisecond)), 2100*time.Millisecond)
}
