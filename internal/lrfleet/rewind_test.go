package lrfleet

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// changeBound is how long after a change of an entry instances may still use the earlier one.
	changeBound = 2 * time.Second
	// maxGone is how often a feed may lose its history on an instance because the platform goes back once: watches that were on the way
	// may miss it a second time.
	maxGone = 2
)

// rewindCase says what happens to the instances while the platform comes back from an older copy.
type rewindCase struct {
	perZone int
	// restarted says whether some instances start anew just after the platform is back.
	restarted bool
	// partitioned is a zone that is cut off from the others meanwhile, but not from the platform.
	partitioned string
	// eras are the eras that the platform names before and after, and givenOut the number of its revisions that are given out again before
	// an instance reads one.
	eras     [2]uint64
	givenOut int
}

// copyOf returns the entries and the revision of the platform.
func (r *revisedFeed) copyOf() (map[string]string, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.entries), r.revision
}

// rewind replaces the state of the platform by an earlier one, and forgets the changes since.
func (r *revisedFeed) rewind(entries map[string]string, revision, era uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries, r.revision, r.era = maps.Clone(entries), revision, era
	kept := r.events[:0]
	for _, e := range r.events {
		if e.revision <= revision {
			kept = append(kept, e)
		}
	}
	r.events = kept
}

// TestChangesAreInForceAfterThePlatformWentBack restores the platform from an older copy, so that its revisions go back. Lists at a lower
// revision than the one held were dropped, the next watch began at the revision held, which the platform does not have, and instances handed
// the old entries to one another: until the revisions had caught up, no change was in force.
func TestChangesAreInForceAfterThePlatformWentBack(t *testing.T) {
	for kind, options := range map[string]FollowerOptions[string]{"changing": changingFeed(), "rare": rareFeed()} {
		for _, perZone := range []int{1, 3, 20} {
			for _, c := range []rewindCase{{perZone: perZone}, {perZone: perZone, restarted: true}, {perZone: perZone, partitioned: "b"}} {
				t.Run(fmt.Sprintf("%s feed, %+v", kind, c), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playRewind(t, newFollowingFleet(c.perZone, options), c) })
				})
			}
		}
	}
}

// TestChangesAreInForceThoughRevisionsAreGivenOutAgain restores the platform from an older copy, and it has reached the revision held again
// before an instance reads it. A watch from there got no error and missed the changes before it, and instances could not tell the entries from
// before by their revision.
func TestChangesAreInForceThoughRevisionsAreGivenOutAgain(t *testing.T) {
	for kind, options := range map[string]FollowerOptions[string]{"changing": changingFeed(), "rare": rareFeed()} {
		for _, perZone := range []int{1, 3, 20} {
			// With 150, the revision is above the one held; with 50, instances of both eras meet.
			for _, givenOut := range []int{50, 150} {
				for _, c := range []rewindCase{{}, {restarted: true}, {partitioned: "b"}} {
					c.perZone, c.givenOut, c.eras = perZone, givenOut, [2]uint64{1, 2}
					t.Run(fmt.Sprintf("%s feed, %+v", kind, c), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { playRewind(t, newFollowingFleet(c.perZone, options), c) })
					})
				}
			}
		}
	}
}

// TestChangesAreInForceWhateverEraIsNamed restores a platform that names no higher era than before: none, as older ones, none any more, or a
// lower one.
func TestChangesAreInForceWhateverEraIsNamed(t *testing.T) {
	for _, eras := range [][2]uint64{{0, 0}, {3, 0}, {3, 2}, {0, 3}, {3, 3}} {
		for _, givenOut := range []int{0, 150} {
			if eras == [2]uint64{3, 3} && givenOut > 0 {
				continue // Nothing tells such a store from one that never went back.
			}
			c := rewindCase{perZone: 3, eras: eras, givenOut: givenOut}
			t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playRewind(t, newFollowingFleet(c.perZone, changingFeed()), c) })
			})
		}
	}
}

func playRewind(t *testing.T, f *followingFleet, c rewindCase) {
	t.Helper()
	defer f.stopAll()
	f.platform.era = c.eras[0]
	f.platform.put("kept", "1")
	for n := range f.sharers {
		f.start(n)
	}
	f.play(time.Second, func() {})
	entries, revision := f.platform.copyOf()
	for range 100 {
		f.platform.touch()
	}
	f.platform.put("lost", "1")
	f.play(time.Second, func() {})
	requireEqual(t, "holders of the entry that gets lost", f.holders("lost"), len(f.sharers))
	before := f.historyGone()
	f.platform.setDown(true)
	f.play(500*time.Millisecond, func() {})
	f.platform.rewind(entries, revision, c.eras[1])
	f.platform.put("early", "1")
	for range c.givenOut {
		f.platform.touch()
	}
	f.platform.setDown(false)
	f.partition(c.partitioned)
	for n := range f.sharers {
		if c.restarted && n%2 == 1 {
			f.kill(n)
			f.start(n)
		}
	}
	f.play(300*time.Millisecond, func() {})
	f.platform.put("kept", "2")
	f.platform.put("new", "1")
	f.play(changeBound, func() {})
	requireEqual(t, "holders of the new entry", f.holders("new"), len(f.sharers))
	requireEqual(t, "holders of the entry written before a read", f.holders("early"), len(f.sharers))
	requireEqual(t, "holders of the changed entry", f.holdersOf("kept", "2"), len(f.sharers))
	f.partition("")
	f.play(changeBound, func() {})
	requireEqual(t, "holders after the partition", f.holdersOf("kept", "2"), len(f.sharers))
	for name, gone := range f.historyGone() {
		if gone > before[name]+maxGone {
			t.Errorf("%s lost the history %d times", name, gone-before[name])
		}
	}
}

// partition cuts the zone off from the others. An empty one ends the partition.
func (f *followingFleet) partition(zone string) {
	f.isPartitioned = func(a, b string) bool { return (a == zone) != (b == zone) }
}

// holdersOf returns the number of running instances at which the entry has the value.
func (f *followingFleet) holdersOf(name, value string) int {
	count := 0
	for instance, follower := range f.followers {
		if follower.Snapshot().Set[name] == value && !f.dead[instance] {
			count++
		}
	}
	return count
}

// historyGone returns how often each instance has lost the history.
func (f *followingFleet) historyGone() map[string]uint64 {
	counts := map[string]uint64{}
	for name, follower := range f.followers {
		counts[name] = follower.Stats().HistoryGone
	}
	return counts
}
