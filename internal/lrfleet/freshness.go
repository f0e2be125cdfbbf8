package lrfleet

import "time"

// freshFor returns how long ago any instance is known to have read the feed.
func (f *Follower[T]) freshFor(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.freshAt)
}

func (f *Follower[T]) noteFailure(now time.Time, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.failingSince.IsZero() {
		return
	}
	f.failingSince = now
	f.log.Warn().Err(err).Str("feed", f.options.Name).Msg("fleet: platform lost")
}

// noteWatch notes that a watch has begun, or ended with the zero time.
func (f *Follower[T]) noteWatch(since time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.watchingSince = since
}

// ReadAge returns how long ago any instance is known to have read the feed. A watch of this instance that still waits reads it all the
// time, if it follows on an answer and its own is not late. One that began without an answer before may meet a platform that is gone.
func (f *Follower[T]) ReadAge(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wait := f.options.Wait
	isAnswered := f.failingSince.IsZero() && f.watchingSince.Sub(f.answeredAt) <= wait
	if f.options.IsChanging && isAnswered && now.Sub(f.watchingSince) <= wait {
		return 0
	}
	return now.Sub(f.freshAt)
}

// NoteReadAge takes in how long ago another instance knows the feed to have been read.
func (f *Follower[T]) NoteReadAge(now time.Time, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.noteRead(now, now.Add(-age))
}

// noteRead takes in that an instance has read the feed. The mutex must be held.
func (f *Follower[T]) noteRead(now, at time.Time) {
	if !at.After(f.freshAt) {
		return
	}
	f.noteOutage(now, at)
	f.freshAt = at
}

// noteOutage begins the grace for entries that may have lapsed, if nobody is known to have read the feed for long until the given
// time: the platform was out of reach of more than this instance. The mutex must be held.
func (f *Follower[T]) noteOutage(now, until time.Time) {
	if !f.freshAt.IsZero() && until.Sub(f.freshAt) > outageFrom {
		f.backAt = now
	}
}

// noteContact must be called with the mutex held.
func (f *Follower[T]) noteContact(now time.Time) {
	f.answeredAt = now
	if f.failingSince.IsZero() {
		return
	}
	silence := now.Sub(f.failingSince)
	f.failingSince = time.Time{}
	f.log.Info().Str("feed", f.options.Name).Dur("silence", silence).Msg("fleet: platform regained")
}
