package lrfleet

import "time"

// FeedStats count what has become of the answers of the platform to the reads of a feed.
type FeedStats struct {
	// HistoryGone is the number of watches for which the platform no longer had the changes.
	HistoryGone uint64
	// Dropped is the number of answers that were not applied because the entries include later changes.
	Dropped uint64
}

// Stats returns the counts since the start.
func (f *Follower[T]) Stats() FeedStats {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stats
}

// recordHistoryGone counts and logs that the platform no longer has the changes since the revision of the entries.
func (f *Follower[T]) recordHistoryGone(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stats.HistoryGone++
	f.log.Warn().Str("feed", f.options.Name).Uint64("held", f.version.Revision).Dur("applied", now.Sub(f.appliedAt)).
		Msg("fleet: history is gone, listing anew")
}

// recordDropped counts and logs that an answer at the revision is not applied. It must be called with the mutex held.
func (f *Follower[T]) recordDropped(now time.Time, revision, era uint64) {
	f.stats.Dropped++
	f.log.Warn().Str("feed", f.options.Name).Uint64("revision", revision).Uint64("era", era).Uint64("held", f.version.Revision).
		Uint64("heldEra", f.version.Era).Dur("applied", now.Sub(f.appliedAt)).Msg("fleet: answer is older than the entries, not applied")
}

// recordRewind logs that the platform has gone back to an earlier revision. It must be called with the mutex held.
func (f *Follower[T]) recordRewind(version FeedVersion) {
	f.log.Warn().Str("feed", f.options.Name).Uint64("held", f.version.Revision).Uint64("heldEra", f.version.Era).
		Uint64("revision", version.Revision).Uint64("era", version.Era).Uint32("rewinds", version.Rewinds).Msg("fleet: platform has gone back to an earlier revision")
}
