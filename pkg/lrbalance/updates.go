package lrbalance

import "time"

const (
	// maxLogEntries is the capacity of an update log. The older half is dropped when it is reached.
	maxLogEntries = 16384
	// updateTTL is how long after its creation an update is passed on.
	updateTTL = 3 * time.Second
	// maxUpdatesPerRead is the most updates that one read returns.
	maxUpdatesPerRead = 4096
)

// A CacheUpdate is a cache update: an engine or KV store has come to hold the block of the key.
type CacheUpdate struct {
	Engine string
	Key    Key
}

// updateLog holds recent cache updates. Each reader has a cursor and gets each update once.
type updateLog struct {
	entries []updateEntry
	// first is the sequence number of the oldest entry in the log.
	first uint64
}

type updateEntry struct {
	CacheUpdate
	at time.Time
}

// newUpdateLog returns an empty log. Its sequence numbers begin at one.
func newUpdateLog() *updateLog { return &updateLog{first: 1} }

func (l *updateLog) add(now time.Time, h CacheUpdate) {
	if len(l.entries) == maxLogEntries {
		drop := maxLogEntries / 2
		l.entries = append(l.entries[:0:0], l.entries[drop:]...)
		l.first += uint64(drop)
	}
	l.entries = append(l.entries, updateEntry{CacheUpdate: h, at: now})
}

// since returns the updates from the cursor on that are younger than updateTTL, and the cursor for the next call.
func (l *updateLog) since(now time.Time, cursor uint64) ([]CacheUpdate, uint64) {
	from := max(cursor, l.first) - l.first
	from = min(from, uint64(len(l.entries)))
	var updates []CacheUpdate
	for n := from; n < uint64(len(l.entries)); n++ {
		if len(updates) == maxUpdatesPerRead {
			return updates, l.first + n
		}
		if now.Sub(l.entries[n].at) < updateTTL {
			updates = append(updates, l.entries[n].CacheUpdate)
		}
	}
	return updates, l.first + uint64(len(l.entries))
}
