package lrfleet

import (
	"sync"
	"time"
)

// EraTimes holds when this instance first learned of the latest era of the platform's store, from an answer to a read of any feed or from
// another instance. The store was back from its copy by then, whichever feed is read first. The methods do nothing on a nil pointer. It is
// safe for use by several goroutines.
type EraTimes struct {
	mutex sync.Mutex
	era   uint64
	since time.Time
}

// Record records that the store has named the era by now.
func (e *EraTimes) Record(now time.Time, era uint64) {
	if e == nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if era > e.era {
		e.era, e.since = era, now
	}
}

// Since returns when this instance first learned of the era, or now for one that is not the latest: a store whose eras fall may have come
// back just now.
func (e *EraTimes) Since(now time.Time, era uint64) time.Time {
	if e == nil {
		return now
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if era == 0 || era != e.era {
		return now
	}
	return e.since
}
