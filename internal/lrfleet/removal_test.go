package lrfleet

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

const (
	// drainBound is how long after its removal an entry may still be in use.
	drainBound = 2 * time.Second
	// restartBound is how long after its start an instance may lag behind.
	restartBound = 3 * time.Second
	// removedFeed is the name of the feed in messages.
	removedFeed = "servers"
)

// revisedFeed is a platform with one revision for all feeds, of which it lists and watches one.
type revisedFeed struct {
	mutex    sync.Mutex
	entries  map[string]string
	revision uint64
	events   []feedEvent
	down     bool
	// era is what the platform names as the era of its store.
	era uint64
}

type feedEvent struct {
	name     string
	revision uint64
}

// put writes an entry, or removes it if the value is empty.
func (r *revisedFeed) put(name, value string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	r.events = append(r.events, feedEvent{name: name, revision: r.revision})
	if value == "" {
		delete(r.entries, name)
		return
	}
	r.entries[name] = value
}

// touch changes an entry of another feed.
func (r *revisedFeed) touch() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
}

func (r *revisedFeed) setDown(down bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = down
}

func (r *revisedFeed) List(context.Context) (Changes[string], error) {
	time.Sleep(4 * time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return Changes[string]{}, errDown
	}
	return Changes[string]{Set: maps.Clone(r.entries), Revision: r.revision, Era: r.era}, nil
}

func (r *revisedFeed) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[string], error) {
	for end := time.Now().Add(wait); ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		changes, hasEvents, err := r.changes(after)
		if err != nil || hasEvents || !time.Now().Before(end) {
			return changes, err
		}
	}
	return Changes[string]{}, ctx.Err()
}

func (r *revisedFeed) changes(after uint64) (changes Changes[string], hasEvents bool, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return Changes[string]{}, false, errDown
	}
	if after > r.revision {
		return Changes[string]{}, false, ErrHistoryGone.New("revision %d", after)
	}
	changes = Changes[string]{Set: map[string]string{}, Revision: r.revision, Era: r.era}
	for _, e := range r.events {
		if e.revision <= after {
			continue
		}
		hasEvents = true
		value, ok := r.entries[e.name]
		if !ok {
			changes.Deleted = append(changes.Deleted, e.name)
			continue
		}
		changes.Set[e.name] = value
	}
	return changes, hasEvents, nil
}

// followingFleet is a fleet whose instances follow one feed and take it over from one another. It runs on the clock of a synctest bubble.
type followingFleet struct {
	*testFleet
	platform  *revisedFeed
	options   FollowerOptions[string]
	followers map[string]*Follower[string]
	stops     map[string]context.CancelFunc
	group     sync.WaitGroup
}

func newFollowingFleet(perZone int, options FollowerOptions[string]) *followingFleet {
	f := &followingFleet{
		testFleet: newTestFleet(perZone), platform: &revisedFeed{entries: map[string]string{}, revision: 1}, options: options,
		followers: map[string]*Follower[string]{}, stops: map[string]context.CancelFunc{},
	}
	f.now = time.Now()
	return f
}

// start starts the instance as a new process without any state.
func (f *followingFleet) start(n int) {
	f.restart(n)
	s := f.sharers[n]
	s.startedAt, s.wantsLevels = f.now, false
	options := f.options
	options.Name = removedFeed
	// The rank delay grows as that of lredge does.
	options.Delay = func() time.Duration { return min(time.Duration(s.Rank(time.Now()))*s.PropagationDelay(), time.Second) }
	options.Watches = func() bool { return s.Rank(time.Now()) < 8 }
	follower := NewFollower(Feed[string](f.platform), options, zerolog.Nop(), func(time.Time, map[string]string) {})
	s.Feeds[removedFeed] = follower
	ctx, stop := context.WithCancel(context.Background())
	f.group.Go(func() { _ = follower.Run(ctx) })
	if !options.IsChanging {
		f.group.Go(func() { _ = follower.RunRefresh(ctx) })
	}
	f.followers[s.Self.Name], f.stops[s.Self.Name] = follower, stop
	delete(f.dead, s.Self.Name)
}

func (f *followingFleet) kill(n int) {
	name := f.sharers[n].Self.Name
	f.dead[name] = true
	f.stops[name]()
}

func (f *followingFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	f.group.Wait()
}

// play lets the instances exchange their state for the given time, and calls each at every step.
func (f *followingFleet) play(duration time.Duration, each func()) {
	const step = 20 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.now = time.Now()
		f.run(step)
		for _, s := range f.sharers {
			if !f.dead[s.Self.Name] {
				f.fetch(s)
				f.followers[s.Self.Name].Expire(f.now)
			}
		}
		time.Sleep(step)
		each()
	}
}

// fetch makes the fetch of a feed that is due.
func (f *followingFleet) fetch(s *Sharer) {
	p, feed, wanted := s.nextFetch(f.now)
	if p == nil || f.dead[p.Name] || f.isPartitioned(s.Self.Zone, p.Zone) {
		return
	}
	reply, _ := f.find(p.Name).FetchFeed(context.Background(), &lrpeerpb.FetchFeedRequest{Feed: feed})
	s.applyFeed(f.now, p.Name, feed, wanted, reply)
}

// holders returns the number of running instances that use the entry.
func (f *followingFleet) holders(name string) int {
	count := 0
	for instance, follower := range f.followers {
		if _, ok := follower.Snapshot().Set[name]; ok && !f.dead[instance] {
			count++
		}
	}
	return count
}

func changingFeed() FollowerOptions[string] {
	return FollowerOptions[string]{IsChanging: true, Interval: 400 * time.Millisecond, Wait: 800 * time.Millisecond, LapseGrace: 2200 * time.Millisecond}
}

func rareFeed() FollowerOptions[string] {
	return FollowerOptions[string]{Interval: 800 * time.Millisecond, Wait: 20 * time.Second}
}

// removalCase says how an entry is removed while instances restart.
type removalCase struct {
	perZone int
	// survivor says which instances keep running: the first one, the last one or each second one.
	survivor string
	removed  string
	// listsFirst is set if new processes list the feed before they receive anything from others.
	listsFirst bool
}

// TestEntryRemovedBehindARestartIsUsedNoMore removes an entry while instances restart. Those that start anew list the feed without it, so
// that they alone know of its removal; the others learn it from them, since the feed counts as read by all. No instance may use the entry
// later than the drain bound, nor hand it back to those that have started anew.
func TestEntryRemovedBehindARestartIsUsedNoMore(t *testing.T) {
	for kind, options := range map[string]FollowerOptions[string]{"changing": changingFeed(), "rare": rareFeed()} {
		var cases []removalCase
		if options.IsChanging {
			cases = append(cases, removalCase{140, "last", "newest", true})
		}
		for _, perZone := range []int{1, 3, 20} {
			for _, survivor := range []string{"first", "last", "half"} {
				cases = append(cases, removalCase{perZone, survivor, "newest", true}, removalCase{perZone, survivor, "oldest", true},
					removalCase{perZone, survivor, "newest", false})
			}
		}
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s feed, %+v", kind, c), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playRemoval(t, newFollowingFleet(c.perZone, options), c) })
			})
		}
	}
}

// survives reports whether the instance keeps running.
func (c removalCase) survives(n int) bool {
	switch c.survivor {
	case "first":
		return n == 0
	case "last":
		return n == 3*c.perZone-1
	default:
		return n%2 == 1
	}
}

func playRemoval(t *testing.T, f *followingFleet, c removalCase) {
	t.Helper()
	defer f.stopAll()
	for _, name := range []string{"oldest", "middle", "newest"} {
		f.platform.put(name, "1")
	}
	for n := range f.sharers {
		f.start(n)
	}
	f.play(2*time.Second, func() {})
	requireEqual(t, "holders before", f.holders(c.removed), len(f.sharers))
	each := func(restarted bool, call func(n int)) {
		for n := range f.sharers {
			if c.survives(n) != restarted {
				call(n)
			}
		}
	}
	each(true, f.kill)
	f.play(140*time.Millisecond, func() {})
	f.platform.put(c.removed, "")
	f.platform.touch()
	removedAt := time.Now()
	f.play(160*time.Millisecond, func() {})
	each(true, f.start)
	restartedAt := time.Now()
	if c.listsFirst {
		time.Sleep(10 * time.Millisecond)
	}
	f.play(4*time.Second, func() {
		each(false, func(n int) { requireNotInUse(t, f, n, c.removed, removedAt, drainBound) })
		each(true, func(n int) { requireNotInUse(t, f, n, c.removed, restartedAt, restartBound) })
	})
	requireEqual(t, "holders of another entry", f.holders("middle"), len(f.sharers))
}

// requireNotInUse checks that the instance does not use the entry later than the bound after the given time.
func requireNotInUse(t *testing.T, f *followingFleet, n int, name string, since time.Time, bound time.Duration) {
	t.Helper()
	instance := f.sharers[n].Self.Name
	if _, ok := f.followers[instance].Snapshot().Set[name]; ok && time.Since(since) > bound {
		t.Fatalf("%s uses the entry %s later", instance, time.Since(since))
	}
}

// TestEntriesAreKeptWhileThePlatformIsAway restarts instances while the platform does not answer, and entries that lapse then return a
// moment after it does. Instances that start anew take the entries from those that have them, and none may lose them.
func TestEntriesAreKeptWhileThePlatformIsAway(t *testing.T) {
	for _, perZone := range []int{1, 3, 20} {
		for _, survivor := range []string{"first", "last", "half"} {
			c := removalCase{perZone: perZone, survivor: survivor}
			t.Run(fmt.Sprintf("%d per zone, %s", perZone, survivor), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playOutage(t, newFollowingFleet(perZone, changingFeed()), c) })
			})
		}
	}
}

func playOutage(t *testing.T, f *followingFleet, c removalCase) {
	t.Helper()
	defer f.stopAll()
	names := []string{"oldest", "middle", "newest"}
	for _, name := range names {
		f.platform.put(name, "1")
	}
	for n := range f.sharers {
		f.start(n)
	}
	f.play(2*time.Second, func() {})
	f.platform.setDown(true)
	f.play(2*time.Second, func() {})
	for n := range f.sharers {
		if !c.survives(n) {
			f.kill(n)
		}
	}
	f.play(300*time.Millisecond, func() {})
	for n := range f.sharers {
		if !c.survives(n) {
			f.start(n)
		}
	}
	f.play(time.Second, func() {})
	requireEqual(t, "holders while the platform is away", f.holders("newest"), len(f.sharers))
	for _, name := range names {
		f.platform.put(name, "")
	}
	f.play(time.Second, func() {})
	f.platform.setDown(false)
	f.play(time.Second, func() { requireEqual(t, "lapsed entries in use", f.users("newest"), len(f.sharers)) })
	for _, name := range names {
		f.platform.put(name, "2")
	}
	f.play(2*time.Second, func() { requireEqual(t, "entries in use", f.users("newest"), len(f.sharers)) })
}

// users returns the number of running instances that use the entry, be it that it has lapsed.
func (f *followingFleet) users(name string) int {
	count := 0
	for instance, follower := range f.followers {
		follower.mutex.Lock()
		if _, ok := follower.entries[name]; ok && !f.dead[instance] {
			count++
		}
		follower.mutex.Unlock()
	}
	return count
}

// TestChangesAreAppliedInTheirOrder delays the first of two changes while the second one arrives, as when the platform and another
// instance answer at the same moment. Without order the user of the feed would end with the entries before the removal.
func TestChangesAreAppliedInTheirOrder(t *testing.T) {
	const patience = 50 * time.Millisecond
	inUse, entered, release := 0, make(chan struct{}), make(chan struct{})
	f := NewFollower(Feed[string](nil), FollowerOptions[string]{}, zerolog.Nop(), func(_ time.Time, entries map[string]string) {
		if len(entries) == 2 {
			close(entered)
			<-release
		}
		inUse = len(entries)
	})
	var group sync.WaitGroup
	group.Go(func() { f.Replace(time.Now(), listOf(10, "a", "b")) })
	<-entered
	second := make(chan struct{})
	group.Go(func() {
		f.ReplaceFromPeer(time.Now(), FeedVersion{Revision: 11}, listOf(11, "a"))
		close(second)
	})
	select {
	case <-second:
	case <-time.After(patience):
	}
	close(release)
	group.Wait()
	requireEqual(t, "entries in use", inUse, 1)
}
