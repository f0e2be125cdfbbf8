// Package lrquarantine decides which requests are stopped because they crash the engines that run them.
//
// A Tracker attributes crashes to whole requests and to the parts of prompts that unlike requests share. It needs several crashes and asks
// nothing of the way in which requests run.
//
// A Ledger judges whole requests by isolating them. The first crash of an engine makes suspects of all requests that were in flight on it. From then on each suspect runs
// isolated, that is without other suspects on its engine, so that a second crash identifies the request that causes the
// crashes.
package lrquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"
)

// A State says whether and how a request may run.
type State int

const (
	// Trusted requests run without restriction.
	Trusted State = iota
	// Suspect requests run isolated from other suspects.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// A Crash reports that an engine crashed while it ran a request.
type Crash struct {
	Digest      string `json:"digest"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	AttemptID   string `json:"attemptId"`
	// Isolated is set if no other suspect of the reporting instance was in flight on the engine.
	Isolated bool `json:"isolated"`
}

// Options set how long requests stay suspect or quarantined.
type Options struct {
	SuspectValidity    time.Duration
	QuarantineValidity time.Duration
	// CrashWindow is the time within which two reports from one server count as the same crash.
	CrashWindow time.Duration
	// MaxRequests is the most requests that are remembered.
	MaxRequests int
}

// DefaultOptions returns the options for production use.
func DefaultOptions() Options {
	return Options{SuspectValidity: 10 * time.Minute, QuarantineValidity: 10 * time.Minute, CrashWindow: time.Second, MaxRequests: 16384}
}

// A Ledger records crashes and the isolated runs of suspects. It is safe for use by several goroutines.
type Ledger struct {
	options Options
	mutex   sync.Mutex
	entries map[string]entry
	// isolated holds the isolated runs of this instance by server.
	isolated map[string]isolatedRun
	// grantedToOthers holds, by server, until when a suspect of another instance may be about to run there.
	grantedToOthers map[string]time.Time
}

// isolatedRun is the run of a suspect of this instance on a server, begun or about to begin.
type isolatedRun struct {
	digest string
	// confirmed is set when the other instances have granted the server.
	confirmed bool
}

type entry struct {
	state     State
	last      Crash
	crashedAt time.Time
	expiresAt time.Time
}

// NewLedger returns a Ledger in which every request is trusted.
func NewLedger(options Options) *Ledger {
	return &Ledger{options: options, entries: map[string]entry{}, isolated: map[string]isolatedRun{}, grantedToOthers: map[string]time.Time{}}
}

// Digest returns the identity of a request: the same prompt of the same client account for the same model has the same
// digest.
func Digest(account, model, prompt string) string {
	hash := sha256.New()
	for _, field := range []string{account, model, prompt} {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(field)))
		_, _ = hash.Write([]byte(field))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// State returns the state of the request.
func (l *Ledger) State(now time.Time, digest string) State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state(now, digest)
}

// Begin records that the request is about to run on the server. It reports whether the request runs isolated, and whether it
// may run there now: a suspect may not run beside another one.
func (l *Ledger) Begin(now time.Time, digest, server string) (isolated, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state(now, digest) == Trusted {
		return false, true
	}
	_, occupied := l.isolated[server]
	if occupied || now.Before(l.grantedToOthers[server]) {
		return false, false
	}
	l.isolated[server] = isolatedRun{digest: digest}
	return true, true
}

// ConfirmIsolation records that the other instances have granted the server to the request that began there.
func (l *Ledger) ConfirmIsolation(digest, server string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isolated[server].digest == digest {
		l.isolated[server] = isolatedRun{digest: digest, confirmed: true}
	}
}

// Grant reports whether another instance may run a suspect on the server. Of two instances that ask for it at the same time,
// the one that has precedence gets it.
func (l *Ledger) Grant(now time.Time, server string, otherHasPrecedence bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own, occupied := l.isolated[server]
	if occupied && (own.confirmed || !otherHasPrecedence) {
		return false
	}
	for s, until := range l.grantedToOthers {
		if !now.Before(until) {
			delete(l.grantedToOthers, s)
		}
	}
	l.grantedToOthers[server] = now.Add(l.options.CrashWindow)
	return true
}

// End records that an isolated request has ended on the server. A completed request is trusted again.
func (l *Ledger) End(digest, server string, completed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isolated[server].digest == digest {
		delete(l.isolated, server)
	}
	if completed {
		delete(l.entries, digest)
	}
}

// Occupied returns the servers on which a suspect runs or may be about to run, ordered by name.
func (l *Ledger) Occupied(now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	servers := make([]string, 0, len(l.isolated)+len(l.grantedToOthers))
	for s := range l.isolated {
		servers = append(servers, s)
	}
	for s, until := range l.grantedToOthers {
		if now.Before(until) {
			servers = append(servers, s)
		}
	}
	slices.Sort(servers)
	return servers
}

// Report applies a crash that this or another instance has observed, and returns the new state of the request.
func (l *Ledger) Report(now time.Time, crash Crash) State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, ok := l.entries[crash.Digest]
	switch {
	case !ok || !now.Before(known.expiresAt):
		l.evict(now)
		l.entries[crash.Digest] = entry{state: Suspect, last: crash, crashedAt: now, expiresAt: now.Add(l.options.SuspectValidity)}
		return Suspect
	case known.state == Quarantined || !crash.Isolated || l.isSameCrash(now, known, crash):
		return known.state
	}
	l.entries[crash.Digest] = entry{state: Quarantined, last: crash, crashedAt: now, expiresAt: now.Add(l.options.QuarantineValidity)}
	return Quarantined
}

// Restore applies a quarantine that another instance has decided and that is still valid for the given time.
func (l *Ledger) Restore(now time.Time, crash Crash, validity time.Duration) {
	if validity <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state(now, crash.Digest) == Quarantined {
		return
	}
	l.evict(now)
	l.entries[crash.Digest] = entry{
		state: Quarantined, last: crash, crashedAt: now, expiresAt: now.Add(min(validity, l.options.QuarantineValidity)),
	}
}

// RetryAfter returns the time until the quarantine of the request ends.
func (l *Ledger) RetryAfter(now time.Time, digest string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.entries[digest].expiresAt.Sub(now), 0)
}

func (l *Ledger) state(now time.Time, digest string) State {
	known, ok := l.entries[digest]
	if !ok || !now.Before(known.expiresAt) {
		return Trusted
	}
	return known.state
}

// isSameCrash reports whether the crash is the one already recorded: by the attempt, else by the incarnation of the server,
// else by the crash window.
func (l *Ledger) isSameCrash(now time.Time, known entry, crash Crash) bool {
	if known.last.AttemptID == crash.AttemptID {
		return true
	}
	if known.last.Server != crash.Server {
		return false
	}
	if known.last.Incarnation != "" && crash.Incarnation != "" {
		return known.last.Incarnation == crash.Incarnation
	}
	return now.Sub(known.crashedAt) < l.options.CrashWindow
}

// evict removes the expired entries when the ledger is full, and the one that expires first when none has expired.
func (l *Ledger) evict(now time.Time) {
	if len(l.entries) < l.options.MaxRequests {
		return
	}
	var first string
	for digest, e := range l.entries {
		if !now.Before(e.expiresAt) {
			delete(l.entries, digest)
			continue
		}
		if first == "" || e.expiresAt.Before(l.entries[first].expiresAt) {
			first = digest
		}
	}
	if len(l.entries) >= l.options.MaxRequests {
		delete(l.entries, first)
	}
}
