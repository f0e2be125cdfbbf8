package lrfleet

import (
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is no longer sent to any backend server.
	maxCrashes = 3
	// crashRetention is how long crashes are remembered.
	crashRetention = 2 * time.Minute
	// maxCrashRecords is the number of requests above which those that are expired or below maxCrashes are forgotten.
	maxCrashRecords = 4096
)

// A Crash is a broken connection to a server while the server ran a request.
type Crash struct {
	Digest string
	Server string
}

type crashRecord struct {
	count  int
	lastAt time.Time
}

// Crashes counts, over all instances, the crashes of servers during each request, so that a request that crashes servers can be refused.
// It is safe for use by several goroutines.
type Crashes struct {
	mutex   sync.Mutex
	records map[string]*crashRecord
	// updates holds the crashes to send. Repeated crashes of one server by one request count as one while the first is remembered.
	updates *gossip[Crash]
}

// NewCrashes returns an empty Crashes.
func NewCrashes() *Crashes {
	return &Crashes{records: map[string]*crashRecord{}, updates: newGossip[Crash](gossipFor, rememberFor)}
}

// IsPoison reports whether so many crashes occurred during the request that it must be their cause.
func (c *Crashes) IsPoison(now time.Time, digest string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.records[digest]
	return ok && r.count >= maxCrashes && now.Sub(r.lastAt) < crashRetention
}

// Crashed records a crash that this instance has observed.
func (c *Crashes) Crashed(now time.Time, digest, server string) {
	c.Merge(now, Crash{Digest: digest, Server: server})
}

// Merge records a crash that another instance has reported. A repeated report changes nothing.
func (c *Crashes) Merge(now time.Time, crash Crash) {
	if !c.updates.add(now, crash) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.records[crash.Digest]
	if !ok {
		c.evict(now)
		r = &crashRecord{}
		c.records[crash.Digest] = r
	}
	r.count++
	r.lastAt = now
}

// evict forgets requests that are expired or below maxCrashes when there are too many records. It must be called with the mutex held.
func (c *Crashes) evict(now time.Time) {
	if len(c.records) < maxCrashRecords {
		return
	}
	for digest, r := range c.records {
		if r.count < maxCrashes || now.Sub(r.lastAt) > crashRetention {
			delete(c.records, digest)
		}
	}
}

// Updates returns the crashes to send to other instances.
func (c *Crashes) Updates(now time.Time) []Crash { return c.updates.updates(now) }
