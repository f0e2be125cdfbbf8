package lrfleet

import (
	"sync"
	"time"
)

const (
	// crashBound is the number of crashes after which a request reaches no backend server any more.
	crashBound = 3
	// crashMemory is how long crashes are remembered.
	crashMemory = 2 * time.Minute
	// crashRoom is the most requests remembered. The rest are forgotten.
	crashRoom = 4096
)

// A Crash tells that the connection to a server broke while it ran a request.
type Crash struct {
	Digest string
	Server string
}

type crashRecord struct {
	count  int
	lastAt time.Time
}

// Crashes remembers which requests were under way when servers crashed, on any instance. It is safe for use by several
// goroutines.
type Crashes struct {
	mutex   sync.Mutex
	records map[string]*crashRecord
	// news are the crashes to tell. Breaks of one server by one request within its memory count as one crash.
	news *spread[Crash]
}

// NewCrashes returns an empty Crashes.
func NewCrashes() *Crashes {
	return &Crashes{records: map[string]*crashRecord{}, news: newSpread[Crash](tellFor, keepFor)}
}

// IsPoison reports whether the request was under way at so many crashes that it must be their cause.
func (c *Crashes) IsPoison(now time.Time, digest string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.records[digest]
	return ok && r.count >= crashBound && now.Sub(r.lastAt) < crashMemory
}

// Crashed notes a crash that this instance has seen.
func (c *Crashes) Crashed(now time.Time, digest, server string) {
	c.Heard(now, Crash{Digest: digest, Server: server})
}

// Heard notes a crash that another instance tells of, perhaps repeatedly.
func (c *Crashes) Heard(now time.Time, crash Crash) {
	if !c.news.add(now, crash) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.records[crash.Digest]
	if !ok {
		c.makeRoom(now)
		r = &crashRecord{}
		c.records[crash.Digest] = r
	}
	r.count++
	r.lastAt = now
}

// makeRoom must be called with the mutex held.
func (c *Crashes) makeRoom(now time.Time) {
	if len(c.records) < crashRoom {
		return
	}
	for digest, r := range c.records {
		if r.count < crashBound || now.Sub(r.lastAt) > crashMemory {
			delete(c.records, digest)
		}
	}
}

// News returns the crashes that are to be told to other instances.
func (c *Crashes) News(now time.Time) []Crash { return c.news.news(now) }
