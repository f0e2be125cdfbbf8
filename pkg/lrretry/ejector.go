package lrretry

import (
	"slices"
	"sync"
	"time"
)

// An Ejector takes backend servers that fail several times in a row out of use for a time. Afterwards it lets one request at
// a time probe the server until one succeeds. It is safe for use by several goroutines.
type Ejector struct {
	options EjectorOptions
	mutex   sync.Mutex
	servers map[string]*serverHealth
}

// EjectorOptions say when a backend server is ejected and for how long.
type EjectorOptions struct {
	// Failures is the number of consecutive failures that ejects a server.
	Failures int
	// Duration is the length of the first ejection. It doubles with each failed probe, up to MaxDuration.
	Duration    time.Duration
	MaxDuration time.Duration
	// ProbeTimeout is the time after which a probe without a result no longer blocks the next one.
	ProbeTimeout time.Duration
}

// serverHealth is kept only for servers whose last result was a failure.
type serverHealth struct {
	failures     int
	ejectedUntil time.Time
	duration     time.Duration
	probedAt     time.Time
}

// NewEjector returns an Ejector with no ejected servers.
func NewEjector(options EjectorOptions) *Ejector {
	return &Ejector{options: options, servers: map[string]*serverHealth{}}
}

// Ejected returns the servers that must not be used now, ordered by name.
func (e *Ejector) Ejected(now time.Time) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var ejected []string
	for name, s := range e.servers {
		if s.duration > 0 && (now.Before(s.ejectedUntil) || now.Sub(s.probedAt) < e.options.ProbeTimeout) {
			ejected = append(ejected, name)
		}
	}
	slices.Sort(ejected)
	return ejected
}

// Started records that a request is being sent to the server. On a server that has been ejected it is the probe.
func (e *Ejector) Started(now time.Time, server string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.servers[server]
	if ok && s.duration > 0 {
		s.probedAt = now
	}
}

// Succeeded records that the server has answered, which ends its ejection.
func (e *Ejector) Succeeded(server string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.servers, server)
}

// Refused records that the server refused a connection, and ejects it at once.
func (e *Ejector) Refused(now time.Time, server string) {
	e.mutex.Lock()
	s, ok := e.servers[server]
	if !ok {
		s = &serverHealth{}
		e.servers[server] = s
	}
	s.failures = max(s.failures, e.options.Failures-1)
	e.mutex.Unlock()
	e.Failed(now, server)
}

// Failed records that the server has failed, and reports whether this ejected it.
func (e *Ejector) Failed(now time.Time, server string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.servers[server]
	if !ok {
		s = &serverHealth{}
		e.servers[server] = s
	}
	s.failures++
	if s.failures < e.options.Failures || now.Before(s.ejectedUntil) {
		return false
	}
	s.duration = min(max(2*s.duration, e.options.Duration), e.options.MaxDuration)
	s.ejectedUntil = now.Add(s.duration)
	s.probedAt = time.Time{}
	return true
}
