package lrfleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// FollowOptions say how a feed is followed.
type FollowOptions struct {
	// Name stands in the log.
	Name string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Interval is the time between two readings of the feed by all instances together. With IsChanging each reading is a
	// watch, which returns at once. Otherwise watches wait for changes, and a whole list is read at each interval, since
	// watches may hear nothing for a while although something has changed. Zero means that there are no readings.
	Interval time.Duration
	// IsChanging tells that entries change all the time.
	IsChanging bool
	// Watches reports whether this instance watches the feed. Where it does not, it reads it in turn with others, and
	// hears from those that watch.
	Watches func() bool
	// Delay returns how much longer than Interval this instance waits, so that others go first.
	Delay func() time.Duration
	// LapseGrace is how long after an outage entries that are missing are still believed in.
	LapseGrace time.Duration
}

const (
	// outageFrom is the time without a reading by any instance from which on missing entries may have lapsed. It is longer than
	// it takes until another instance reads in place of one that has died.
	outageFrom = 1800 * time.Millisecond
	// watchSlack is how long the answer to a watch may take beyond its wait.
	watchSlack = 1500 * time.Millisecond
	// retryBase and retryMax space calls that the platform does not answer.
	retryBase = 100 * time.Millisecond
	retryMax  = 800 * time.Millisecond
	// retryMaxFresh is the longest pause between calls while other instances tell what they read.
	retryMaxFresh = 2500 * time.Millisecond
	// roleLook is the time between two looks whether this instance shall watch.
	roleLook = 500 * time.Millisecond
	// watchPause is the time between two watches.
	watchPause = 50 * time.Millisecond
	// listTimeout bounds the reading of a whole list.
	listTimeout = 2 * time.Second
)

// A Follower keeps the entries of one feed. It is safe for use by several goroutines.
type Follower[T any] struct {
	feed     Feed[T]
	options  FollowOptions
	log      zerolog.Logger
	onChange func(now time.Time, entries map[string]T)

	mutex    sync.Mutex
	entries  map[string]T
	revision uint64
	latest   uint64
	// freshAt is when any instance is known to have read the feed.
	freshAt time.Time
	// failingSince is when the platform first did not answer. It is zero while it answers.
	failingSince time.Time
	// watchingSince is when the watch under way began. It is zero while there is none.
	watchingSince time.Time
	// answeredAt is when the platform last answered this instance.
	answeredAt time.Time
	// backAt is when the platform answered again after an outage.
	backAt time.Time
	// missing are entries that lapsed around an outage, with the time at which they count as gone.
	missing map[string]time.Time
}

// NewFollower returns a Follower without entries. It calls onChange with all entries whenever some have changed.
func NewFollower[T any](feed Feed[T], options FollowOptions, log zerolog.Logger, onChange func(now time.Time, entries map[string]T)) *Follower[T] {
	return &Follower[T]{
		feed: feed, options: options, log: log, onChange: onChange, entries: map[string]T{}, missing: map[string]time.Time{},
	}
}

// Run follows the feed until the context ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	listed, failures := false, 0
	for ctx.Err() == nil {
		if listed && f.options.IsChanging && !f.awaitTurn(ctx) {
			return nil
		}
		if listed && !f.options.IsChanging && !f.options.Watches() {
			lrsupervise.Sleep(ctx, roleLook)
			continue
		}
		err := f.step(ctx, listed)
		switch {
		case err == nil:
			listed, failures = true, 0
			lrsupervise.Sleep(ctx, watchPause)
		case ErrHistoryGone.Has(err):
			f.log.Warn().Str("feed", f.options.Name).Msg("fleet: history is gone, listing anew")
			listed = false
			lrsupervise.Sleep(ctx, f.backoff(1))
		default:
			f.noteFailure(time.Now(), err)
			failures++
			lrsupervise.Sleep(ctx, watchPause+f.backoff(failures)+f.retryDelay(listed))
		}
	}
	return nil
}

// backoff spaces calls that the platform does not answer. It is longer while others tell what they read.
func (f *Follower[T]) backoff(failures int) time.Duration {
	b := lrretry.Backoff{Base: retryBase, Max: retryMax}
	if f.freshFor(time.Now()) < retryMaxFresh {
		b.Max = retryMaxFresh
	}
	return b.Delay(failures, rand.Float64())
}

// retryDelay spaces the calls of instances that read in turn, so that an outage is not met by all at the same moment.
func (f *Follower[T]) retryDelay(listed bool) time.Duration {
	if !listed || !f.options.IsChanging {
		return 0
	}
	return f.options.Delay()
}

// awaitTurn waits until it is time to read and no other instance has. It reports false when the context has ended.
func (f *Follower[T]) awaitTurn(ctx context.Context) bool {
	for ctx.Err() == nil {
		left := f.options.Interval + f.options.Delay() - f.freshFor(time.Now())
		if left <= 0 {
			return true
		}
		lrsupervise.Sleep(ctx, left)
	}
	return false
}

func (f *Follower[T]) step(ctx context.Context, listed bool) error {
	if !listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+watchSlack)
	defer cancel()
	f.noteWatch(time.Now())
	defer f.noteWatch(time.Time{})
	changes, err := f.feed.Watch(ctx, f.Revision(), f.options.Wait)
	if err != nil {
		return err
	}
	f.Apply(time.Now(), changes)
	return nil
}

func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := f.feed.List(ctx)
	if err != nil {
		return err
	}
	f.Replace(time.Now(), changes)
	return nil
}

// RunRefresh reads the whole list in turn with other instances until the context ends.
func (f *Follower[T]) RunRefresh(ctx context.Context) error {
	// Run begins with a whole list.
	lrsupervise.Sleep(ctx, f.options.Interval)
	for f.awaitTurn(ctx) {
		err := f.list(ctx)
		if err != nil {
			f.log.Debug().Err(err).Str("feed", f.options.Name).Msg("fleet: list not refreshed")
			lrsupervise.Sleep(ctx, f.backoff(1)+f.options.Interval+f.options.Delay())
		}
	}
	return nil
}

// Replace takes in a whole list that the platform has just answered.
func (f *Follower[T]) Replace(now time.Time, changes Changes[T]) {
	f.mutex.Lock()
	f.noteRead(now, now)
	f.noteContact(now)
	changes.Deleted = append(changes.Deleted, missingFrom(changes.Set, f.entries)...)
	f.mutex.Unlock()
	f.apply(now, changes)
}

// Apply takes in changes that the platform has just answered.
func (f *Follower[T]) Apply(now time.Time, changes Changes[T]) {
	f.mutex.Lock()
	if f.options.IsChanging {
		f.noteRead(now, now)
	}
	f.noteContact(now)
	f.mutex.Unlock()
	f.apply(now, changes)
}

// Adopt takes in a whole list that another instance has read, if it is later than the own one.
func (f *Follower[T]) Adopt(now time.Time, changes Changes[T]) bool {
	f.mutex.Lock()
	if changes.Latest <= f.latest {
		f.mutex.Unlock()
		return false
	}
	f.noteOutage(now, now)
	f.latest = changes.Latest
	changes.Revision = 0
	changes.Deleted = append(changes.Deleted, missingFrom(changes.Set, f.entries)...)
	f.mutex.Unlock()
	f.apply(now, changes)
	return true
}

// missingFrom returns the names of the entries that a whole list does not hold.
func missingFrom[T any](list, entries map[string]T) []string {
	var missing []string
	for name := range entries {
		if _, ok := list[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

func (f *Follower[T]) apply(now time.Time, changes Changes[T]) {
	f.mutex.Lock()
	entries := maps.Clone(f.entries)
	isSet := f.set(entries, changes.Set)
	isRemoved, isLapsing := f.remove(now, entries, changes.Deleted)
	isExpired := f.expire(now, entries)
	f.entries = entries
	f.revision = max(f.revision, changes.Revision)
	if isSet {
		f.latest = max(f.latest, changes.Latest)
	}
	if isRemoved || isLapsing {
		// A removal leaves no entry that bears its revision.
		f.latest = max(f.latest, changes.Revision)
	}
	f.mutex.Unlock()
	if isSet || isRemoved || isExpired {
		f.onChange(now, entries)
	}
}

// set takes entries in and reports whether one has changed. The mutex must be held.
func (f *Follower[T]) set(entries, listed map[string]T) bool {
	changed := false
	for name, entry := range listed {
		delete(f.missing, name)
		before, ok := entries[name]
		if ok && reflect.DeepEqual(before, entry) {
			continue
		}
		changed = true
		entries[name] = entry
	}
	return changed
}

// remove drops entries that are no longer listed, or lets them lapse with the grace after an outage. It reports whether one
// was removed and whether one has begun to lapse. The mutex must be held.
func (f *Follower[T]) remove(now time.Time, entries map[string]T, names []string) (isRemoved, isLapsing bool) {
	graceEnd := f.backAt.Add(f.options.LapseGrace)
	for _, name := range names {
		if _, ok := entries[name]; !ok {
			continue
		}
		if !now.Before(graceEnd) {
			isRemoved = true
			delete(entries, name)
			delete(f.missing, name)
			continue
		}
		if _, ok := f.missing[name]; !ok {
			isLapsing = true
		}
		f.missing[name] = graceEnd
	}
	return isRemoved, isLapsing
}

// expire drops the entries whose grace is over and reports whether there was one. The mutex must be held.
func (f *Follower[T]) expire(now time.Time, entries map[string]T) bool {
	expired := false
	for name, end := range f.missing {
		if !now.Before(end) {
			expired = true
			delete(entries, name)
			delete(f.missing, name)
		}
	}
	return expired
}

// Expire drops entries whose grace after an outage is over. It is called now and then.
func (f *Follower[T]) Expire(now time.Time) {
	f.mutex.Lock()
	waiting := len(f.missing)
	f.mutex.Unlock()
	if waiting > 0 {
		f.apply(now, Changes[T]{})
	}
}

// Latest returns the revision of the last change that is known.
func (f *Follower[T]) Latest() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.latest
}

// Revision returns the platform's revision up to which changes are known.
func (f *Follower[T]) Revision() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.revision
}

// Snapshot returns the entries for another instance. Those that are missing since an outage are left out: each instance
// believes in them only as long as its own grace lasts.
func (f *Follower[T]) Snapshot() Changes[T] {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entries := maps.Clone(f.entries)
	for name := range f.missing {
		delete(entries, name)
	}
	return Changes[T]{Set: entries, Revision: f.revision, Latest: f.latest}
}
