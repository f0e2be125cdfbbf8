package lrbalance

import "time"

const (
	// newsRoom is the number of entries that a log of news keeps.
	newsRoom = 16384
	// newsFor is how long an entry is told.
	newsFor = 3 * time.Second
	// newsLimit is the most entries told at once.
	newsLimit = 4096
)

// A Holding tells that an engine has come to hold a part.
type Holding struct {
	Engine string
	Key    Key
}

// newsLog remembers what engines have lately come to hold, so that each reader gets each entry once.
type newsLog struct {
	entries []newsEntry
	// first is the number of the first entry that is kept.
	first uint64
}

type newsEntry struct {
	Holding
	at time.Time
}

// newNewsLog returns an empty log, whose entries are numbered from one on.
func newNewsLog() *newsLog { return &newsLog{first: 1} }

func (l *newsLog) add(now time.Time, h Holding) {
	if len(l.entries) == newsRoom {
		drop := newsRoom / 2
		l.entries = append(l.entries[:0:0], l.entries[drop:]...)
		l.first += uint64(drop)
	}
	l.entries = append(l.entries, newsEntry{Holding: h, at: now})
}

// since returns the entries from the cursor on that are not too old, and the cursor of the next call.
func (l *newsLog) since(now time.Time, cursor uint64) ([]Holding, uint64) {
	from := max(cursor, l.first) - l.first
	from = min(from, uint64(len(l.entries)))
	var told []Holding
	for n := from; n < uint64(len(l.entries)); n++ {
		if len(told) == newsLimit {
			return told, l.first + n
		}
		if now.Sub(l.entries[n].at) < newsFor {
			told = append(told, l.entries[n].Holding)
		}
	}
	return told, l.first + uint64(len(l.entries))
}
