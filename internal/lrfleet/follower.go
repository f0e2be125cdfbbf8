package lrfleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// FollowerOptions configure how a Follower reads a feed.
type FollowerOptions[T any] struct {
	// Name identifies the feed in the log.
	Name string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Interval is the target time between two reads of the feed by all instances together. With IsChanging, each read is a watch, which
	// returns at once. Otherwise watches wait for changes, and all entries are listed at each interval too, since a watch may miss a
	// change for a while. Zero means no such reads.
	Interval time.Duration
	// IsChanging is set for feeds whose entries change constantly.
	IsChanging bool
	// Watches reports whether this instance watches the feed. An instance that does not lists the feed in rotation with others, and
	// receives changes from those that watch.
	Watches func() bool
	// Delay returns how much longer than Interval this instance waits, so that others read first.
	Delay func() time.Duration
	// LapseGrace is how long after an outage of the platform missing entries are still kept. They may have lapsed because of
	// the outage.
	LapseGrace time.Duration
	// Latest returns the later one of two states of an entry by a version of its own, or the second one if they are equal, for entries that
	// never go back. Nil means that the platform decides.
	Latest func(known, listed T) T
	// Restore says how entries are used after the platform has gone back. Nil means that they are used as they are listed.
	Restore *RestorePolicy[T]
	// Eras are shared by the feeds of an instance. Nil means that each feed learns by itself that the store has come back from a copy.
	Eras *EraTimes
	// OnRewind is called when the platform has gone back. A call of onChange with what it lists since follows, also if that is as before.
	OnRewind func(now time.Time)
}

const (
	// outageAfter is the time without a read by any instance after which missing entries may have lapsed. It exceeds the time in which
	// another instance takes over from a reader that has died.
	outageAfter = 1800 * time.Millisecond
	// watchSlack is how long the answer to a watch may take beyond its wait.
	watchSlack = 1500 * time.Millisecond
	// retryBase and retryMax bound the backoff between calls that fail.
	retryBase = 100 * time.Millisecond
	retryMax  = 800 * time.Millisecond
	// retryMaxFresh is the maximum backoff while other instances report that they read the feed.
	retryMaxFresh = 2500 * time.Millisecond
	// roleCheckInterval is the time between two checks whether this instance should watch.
	roleCheckInterval = 500 * time.Millisecond
	// watchPause is the time between two watches.
	watchPause = 50 * time.Millisecond
	// listTimeout bounds a list of all entries.
	listTimeout = 2 * time.Second
)

// A Follower holds the entries of one feed and keeps them up to date. It is safe for use by several goroutines.
type Follower[T any] struct {
	feed     Feed[T]
	options  FollowerOptions[T]
	log      zerolog.Logger
	onChange func(now time.Time, entries map[string]T)

	// applyMutex serializes changes of the entries, so that onChange is called with one after the other. It is locked before mutex.
	applyMutex sync.Mutex
	mutex      sync.Mutex
	entries    map[string]T
	// digests holds the digest of each entry.
	digests map[string]uint64
	version FeedVersion
	// merged is the version of another instance as late as the own one whose entries were last merged.
	merged FeedVersion
	// lastReadAt is when any instance is known to have last read the feed from the platform.
	lastReadAt time.Time
	// failingSince is when the platform first failed to answer. It is zero while the platform answers.
	failingSince time.Time
	// watchingSince is when the running watch began. It is zero while there is none.
	watchingSince time.Time
	// answeredAt is when the platform last answered this instance.
	answeredAt time.Time
	// recoveredAt is when an outage of the platform was last found to have ended.
	recoveredAt time.Time
	// restoredAt is when the platform was last known to be back from an older copy.
	restoredAt time.Time
	// missing maps entries that lapsed around an outage to the time at which they are removed.
	missing map[string]time.Time
	// firstAppliedAt and appliedAt are when entries or changes were first and last applied, and stats what has become of the platform's answers.
	firstAppliedAt time.Time
	appliedAt      time.Time
	stats          FeedStats
	// removed holds entries that were removed of late, and restored what was known when the platform last went back. Both are unused without
	// a RestorePolicy.
	removed  map[string]removedEntry[T]
	restored *restoreState[T]
	// restoredEra is the era of the platform in which restored was last set.
	restoredEra uint64
}

// NewFollower returns a Follower without entries. It calls onChange with all entries after each change.
func NewFollower[T any](feed Feed[T], options FollowerOptions[T], log zerolog.Logger, onChange func(now time.Time, entries map[string]T)) *Follower[T] {
	return &Follower[T]{
		feed: feed, options: options, log: log, onChange: onChange, entries: map[string]T{}, digests: map[string]uint64{},
		missing: map[string]time.Time{}, removed: map[string]removedEntry[T]{},
	}
}

// Run follows the feed until the context ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	listed, failures := false, 0
	for ctx.Err() == nil {
		if listed && f.options.IsChanging && !f.awaitSlot(ctx) {
			return nil
		}
		if listed && !f.options.IsChanging && !f.options.Watches() {
			lrsupervise.Sleep(ctx, roleCheckInterval)
			continue
		}
		err := f.step(ctx, listed)
		switch {
		case err == nil:
			listed, failures = true, 0
			lrsupervise.Sleep(ctx, watchPause)
		case ErrHistoryGone.Has(err):
			f.recordHistoryGone(time.Now())
			listed = false
			lrsupervise.Sleep(ctx, f.backoff(1))
		default:
			f.recordFailure(time.Now(), err)
			failures++
			lrsupervise.Sleep(ctx, watchPause+f.backoff(failures)+f.retryDelay(listed))
		}
	}
	return nil
}

// backoff returns the delay before the next call after failures. It may be longer while other instances report that they read the feed.
func (f *Follower[T]) backoff(failures int) time.Duration {
	b := lrretry.Backoff{Base: retryBase, Max: retryMax}
	if f.sinceLastRead(time.Now()) < retryMaxFresh {
		b.Max = retryMaxFresh
	}
	return b.Delay(failures, rand.Float64())
}

// retryDelay spreads the retries of instances that read in rotation, so that they do not all call a failing platform at the same moment.
func (f *Follower[T]) retryDelay(listed bool) time.Duration {
	if !listed || !f.options.IsChanging {
		return 0
	}
	return f.options.Delay()
}

// awaitSlot waits until the next read is due and no other instance has done it. It reports false when the context has ended.
func (f *Follower[T]) awaitSlot(ctx context.Context) bool {
	for ctx.Err() == nil {
		remaining := f.options.Interval + f.options.Delay() - f.sinceLastRead(time.Now())
		if remaining <= 0 {
			return true
		}
		lrsupervise.Sleep(ctx, remaining)
	}
	return false
}

func (f *Follower[T]) step(ctx context.Context, listed bool) error {
	if !listed || f.mayHaveGoneBack(time.Now()) {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+watchSlack)
	defer cancel()
	f.recordWatch(time.Now())
	defer f.recordWatch(time.Time{})
	base := f.Version()
	changes, err := f.feed.Watch(ctx, base.Revision, f.options.Wait)
	if err != nil {
		return err
	}
	f.options.Eras.Record(time.Now(), changes.Era)
	if changes.Era != base.Era || changes.Revision < base.Revision {
		return ErrHistoryGone.New("the store is at revision %d of era %d", changes.Revision, changes.Era)
	}
	f.apply(time.Now(), base, changes)
	return nil
}

func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	base := f.Version()
	changes, err := f.feed.List(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	f.options.Eras.Record(now, changes.Era)
	unknown := f.unknownOf(changes.Unreadable)
	if len(unknown) > 0 {
		// Without the entry the list would tell other instances that it was deleted. As long as nothing is held, theirs is taken.
		return ErrUnreadable.New("%q", unknown)
	}
	f.replace(now, base, changes)
	return nil
}

// unknownOf returns those of the names under which no entry is held.
func (f *Follower[T]) unknownOf(names []string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, ok := f.entries[name]
		return ok
	})
}

// RunRefresh lists all entries in rotation with other instances until the context ends.
func (f *Follower[T]) RunRefresh(ctx context.Context) error {
	// Run begins with a list of all entries, so the first refresh is due after an interval.
	lrsupervise.Sleep(ctx, f.options.Interval)
	for f.awaitSlot(ctx) {
		err := f.list(ctx)
		if err != nil {
			f.log.Debug().Err(err).Str("feed", f.options.Name).Msg("fleet: list not refreshed")
			lrsupervise.Sleep(ctx, f.backoff(1)+f.options.Interval+f.options.Delay())
		}
	}
	return nil
}

// Replace applies a list of all entries that the platform has just answered to a call that began while the present entries were held.
func (f *Follower[T]) Replace(now time.Time, changes Changes[T]) {
	f.replace(now, f.Version(), changes)
}

// replace applies a list of all entries that the platform has just answered to a call that began while base was held. A list from before
// the present entries is dropped: it has arrived after the newer list of another instance.
func (f *Follower[T]) replace(now time.Time, base FeedVersion, changes Changes[T]) {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	f.mutex.Lock()
	f.recordContact(now)
	listed := base.listedAt(changes.Era, changes.Revision)
	if listed.compare(f.version) < 0 {
		f.recordDropped(now, changes.Revision, changes.Era)
		f.mutex.Unlock()
		return
	}
	f.recordRead(now, now)
	missing := missingFrom(changes.Set, f.entries)
	missing = slices.DeleteFunc(missing, func(name string) bool { return slices.Contains(changes.Unreadable, name) })
	changes.Deleted = append(changes.Deleted, missing...)
	f.mutex.Unlock()
	f.update(now, listed, changes)
}

// apply applies changes since base that the platform has just answered, unless the entries include later ones or the platform has gone back
// meanwhile, so that the changes belong to other entries.
func (f *Follower[T]) apply(now time.Time, base FeedVersion, changes Changes[T]) {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	f.mutex.Lock()
	f.recordContact(now)
	if !base.continues(f.version) || changes.Revision < f.version.Revision {
		f.recordDropped(now, changes.Revision, changes.Era)
		f.mutex.Unlock()
		return
	}
	if f.options.IsChanging {
		f.recordRead(now, now)
	}
	f.mutex.Unlock()
	f.update(now, FeedVersion{Rewinds: base.Rewinds, Era: base.Era, Revision: changes.Revision}, changes)
}

// ReplaceFromPeer applies a list of all entries that another instance holds, and reports whether it did. A list that is not later than
// the own one is ignored. From one that is as late, entries that never go back are merged into the own ones.
func (f *Follower[T]) ReplaceFromPeer(now time.Time, version FeedVersion, changes Changes[T]) bool {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	f.mutex.Lock()
	order := version.compare(f.version)
	if order < 0 || order == 0 && f.options.Latest == nil {
		f.mutex.Unlock()
		return false
	}
	if order == 0 {
		f.merged = version
		changes.Set = f.laterThanOwn(changes.Set)
	} else {
		f.detectOutage(now, now)
		changes.Deleted = append(changes.Deleted, missingFrom(changes.Set, f.entries)...)
	}
	f.mutex.Unlock()
	f.update(now, version, changes)
	return true
}

// update applies changes, after which the entries have the given version apart from its digest. It must be called with applyMutex held.
func (f *Follower[T]) update(now time.Time, version FeedVersion, changes Changes[T]) {
	f.mutex.Lock()
	f.appliedAt = now
	if f.firstAppliedAt.IsZero() {
		f.firstAppliedAt = now
	}
	isRewound := version.isRewoundFrom(f.version)
	if isRewound {
		f.recordRewind(version)
		f.beginRestore(now, version.Era, changes.Set)
	}
	entries := maps.Clone(f.entries)
	isSet := f.set(entries, changes.Set)
	isRemoved := f.remove(now, entries, changes.Deleted)
	isExpired := f.expire(now, entries)
	f.entries = entries
	if f.restored != nil {
		f.restored.isToldCurrent = false
	}
	version.Digest = f.digest()
	f.version = version
	isRestored := f.endRestore(now)
	used := f.used(now)
	f.mutex.Unlock()
	if isRewound && f.options.OnRewind != nil {
		f.options.OnRewind(now)
	}
	if isSet || isRemoved || isExpired || isRestored || isRewound {
		f.onChange(now, used)
	}
}

// Expire deletes missing entries whose grace period after an outage is over, and uses entries as listed once that of RestorePolicy is over. It
// must be called periodically.
func (f *Follower[T]) Expire(now time.Time) {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	f.mutex.Lock()
	isPending, version := len(f.missing) > 0 || f.restored != nil, f.version
	f.mutex.Unlock()
	if isPending {
		f.update(now, version, Changes[T]{})
	}
}

// FirstAppliedAt returns when this instance first learned of any entries, or of there being none. It is zero before.
func (f *Follower[T]) FirstAppliedAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.firstAppliedAt
}

// Version identifies the entries that this instance holds and sends to others.
func (f *Follower[T]) Version() FeedVersion {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// Snapshot returns the entries to send to another instance. Entries that are missing since an outage are omitted: each instance keeps
// them only for its own grace period.
func (f *Follower[T]) Snapshot() Changes[T] {
	changes, _ := f.snapshot()
	return changes
}

// snapshot returns the entries to send to another instance with their version.
func (f *Follower[T]) snapshot() (Changes[T], FeedVersion) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entries := maps.Clone(f.entries)
	for name := range f.missing {
		delete(entries, name)
	}
	return Changes[T]{Set: entries, Revision: f.version.Revision, Era: f.version.Era}, f.version
}
