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
	// crashWindow is the time within which two breaks of one server count as one.
	crashWindow = 500 * time.Millisecond
	// crashRoom is the most requests remembered. The rest are forgotten.
	crashRoom = 4096
	// shareCrashesFor is how long a crash is told to other instances.
	shareCrashesFor = 3 * time.Second
)

// A Crash tells that the connection to a server broke while it ran a request.
type Crash struct {
	Digest string
	Server string
}

type crashRecord struct {
	servers map[string]time.Time
	count   int
	lastAt  time.Time
}

// Crashes remembers which requests were under way when servers crashed, on any instance. It is safe for use by several
// goroutines.
type Crashes struct {
	mutex   sync.Mutex
	records map[string]*crashRecord
	own     map[Crash]time.Time
}

// NewCrashes returns an empty Crashes.
func NewCrashes() *Crashes {
	return &Crashes{records: map[string]*crashRecord{}, own: map[Crash]time.Time{}}
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
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own[Crash{Digest: digest, Server: server}] = now
	c.note(now, Crash{Digest: digest, Server: server})
}

// Heard notes a crash that another instance tells of, perhaps repeatedly.
func (c *Crashes) Heard(now time.Time, crash Crash) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.note(now, crash)
}

// note must be called with the mutex held.
func (c *Crashes) note(now time.Time, crash Crash) {
	r, ok := c.records[crash.Digest]
	if !ok {
		c.makeRoom(now)
		r = &crashRecord{servers: map[string]time.Time{}}
		c.records[crash.Digest] = r
	}
	last, seen := r.servers[crash.Server]
	r.servers[crash.Server] = now
	if seen && now.Sub(last) < shareCrashesFor+crashWindow {
		return
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

// News returns the crashes that this instance has seen of late.
func (c *Crashes) News(now time.Time) []Crash {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var news []Crash
	for crash, at := range c.own {
		if now.Sub(at) > shareCrashesFor {
			delete(c.own, crash)
			continue
		}
		news = append(news, crash)
	}
	return news
}
