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

// ReadAge returns how long ago any instance is known to have read the feed from the platform. A feed that changes constantly counts as
// read at this moment while a watch of this instance is waiting within its time, provided that the watch directly follows an answer. A
// watch without an earlier answer may hang because the platform is unreachable.
func (f *Follower[T]) ReadAge(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wait := f.options.Wait
	isAnswered := f.failingSince.IsZero() && f.watchingSince.Sub(f.answeredAt) <= wait
	if f.options.IsChanging && isAnswered && now.Sub(f.watchingSince) <= wait {
		return 0
	}
	return now.Sub(f.lastReadAt)
}

// RecordReadAge merges how long ago another instance knows the feed to have been read.
func (f *Follower[T]) RecordReadAge(now time.Time, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recordRead(now, now.Add(-age))
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
// the given time: the platform was then unreachable for more than this instance. It must be called with the mutex held.
func (f *Follower[T]) detectOutage(now, until time.Time) {
	if !f.lastReadAt.IsZero() && until.Sub(f.lastReadAt) > outageAfter {
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
