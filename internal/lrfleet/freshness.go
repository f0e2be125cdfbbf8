package lrfleet

import "time"

// sinceLastRead returns how long ago any instance is known to have read the feed from the platform.
func (f *Follower[T]) sinceLastRead(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastReadAt)
}

func (f *Follower[T]) recordFailure(now time.Time, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.failingSince.IsZero() {
		return
	}
	f.failingSince = now
	f.log.Warn().Err(err).Str("feed", f.options.Name).Msg("fleet: platform lost")
}

// recordWatch records when the running watch began, or the zero time when it has ended.
func (f *Follower[T]) recordWatch(since time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.watchingSince = since
}

// mayHaveGoneBack reports whether the platform may have come back from an older copy unnoticed, with the revision held given out again: its
// store names no era, and has not answered this instance just before. A watch would miss changes then, and a list does not.
func (f *Follower[T]) mayHaveGoneBack(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	isAnswered := f.failingSince.IsZero() && now.Sub(f.answeredAt) <= f.options.Wait
	return f.version.Era == 0 && !isAnswered
}

// Report returns the version of the entries, and how long ago any instance is known to have read the feed from the platform. Both belong
// together: the entries include every change up to that read.
func (f *Follower[T]) Report(now time.Time) (FeedVersion, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version, f.readAge(now)
}

// readAge returns how long ago any instance is known to have read the feed from the platform. A feed that changes constantly counts as
// read at this moment while a watch of this instance is waiting within its time, provided that the watch directly follows an answer. A
// watch without an earlier answer may hang because the platform is unreachable. It must be called with the mutex held.
func (f *Follower[T]) readAge(now time.Time) time.Duration {
	wait := f.options.Wait
	isAnswered := f.failingSince.IsZero() && f.watchingSince.Sub(f.answeredAt) <= wait
	if f.options.IsChanging && isAnswered && now.Sub(f.watchingSince) <= wait {
		return 0
	}
	return now.Sub(f.lastReadAt)
}

// RecordReport applies the report of another instance, and reports whether its entries supersede the own ones. Equal entries include
// every change up to the later of the two revisions. A read counts only once its result is known to have arrived here: an instance that
// lags behind, or that cannot tell, goes on reading for itself. A read from before the platform went back does not count.
func (f *Follower[T]) RecordReport(now time.Time, version FeedVersion, age time.Duration) (isBehind bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version.Revision == 0 {
		return false
	}
	f.options.Eras.Record(now, version.Era)
	isEqual := version.Digest == f.version.Digest
	if isEqual && version.continues(f.version) && version.Revision > f.version.Revision {
		f.version = version
	}
	if isEqual || version.continues(f.version) && version.Revision < f.version.Revision {
		f.recordRead(now, now.Add(-age))
	}
	return f.isBehind(version)
}

// IsBehind reports whether entries of the version include changes that the own ones lack.
func (f *Follower[T]) IsBehind(version FeedVersion) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.isBehind(version)
}

// isBehind must be called with the mutex held. That the platform has gone back is learned with the entries, also if they are equal. Entries that
// never go back may differ at the same version: an instance that has started after the platform went back knows only what the older copy holds.
func (f *Follower[T]) isBehind(version FeedVersion) bool {
	order := version.compare(f.version)
	isRewound := order > 0 && !version.continues(f.version)
	isOther := order == 0 && version.Digest != f.version.Digest && version != f.merged
	return version.supersedes(f.version) || isRewound || isOther && f.options.Latest != nil
}

// recordRead records that an instance has read the feed at the given time. It must be called with the mutex held.
func (f *Follower[T]) recordRead(now, at time.Time) {
	if !at.After(f.lastReadAt) {
		return
	}
	f.detectOutage(now, at)
	f.lastReadAt = at
}

// detectOutage starts the grace period for lapsed entries if no instance is known to have read the feed for longer than outageAfter until
// the given time: the platform was then unreachable for more than this instance. An outage from which the platform has come back
// from a copy ended by then, whenever the next read is reported. It must be called with the mutex held.
func (f *Follower[T]) detectOutage(now, until time.Time) {
	isKnown := f.restoredAt.After(f.lastReadAt)
	if !f.lastReadAt.IsZero() && until.Sub(f.lastReadAt) > outageAfter && !isKnown {
		f.recoveredAt = now
	}
}

// recordContact records that the platform has answered this instance. It must be called with the mutex held.
func (f *Follower[T]) recordContact(now time.Time) {
	f.answeredAt = now
	if f.failingSince.IsZero() {
		return
	}
	outage := now.Sub(f.failingSince)
	f.failingSince = time.Time{}
	f.log.Info().Str("feed", f.options.Name).Dur("silence", outage).Msg("fleet: platform regained")
}
