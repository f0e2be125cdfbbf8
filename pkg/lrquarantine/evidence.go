package lrquarantine

import (
	"slices"
	"time"
)

// crash is one crash of a server, with the requests that were in flight there.
type crash struct {
	server string
	at     time.Time
	// learnedAt is when the last request in flight was added.
	learnedAt time.Time
	requests  map[Trait]inFlight
	// suspects are the traits that may have caused the crash.
	suspects map[Trait]*suspect
	// cause is the quarantined part that explains the crash, or zero.
	cause Trait
}

// inFlight is a request that was in flight on a server that crashed.
type inFlight struct {
	request   Request
	at        time.Time
	learnedAt time.Time
	// isOwn is set when this instance observed the crash itself, and isTaken when it is news no longer.
	isOwn   bool
	isTaken bool
}

// takeNews returns the requests that this instance observed at the crash and that were not returned before.
func (c *crash) takeNews(now time.Time) []CrashUpdate {
	var news []CrashUpdate
	for whole, r := range c.requests {
		if !r.isOwn || r.isTaken {
			continue
		}
		r.isTaken = true
		c.requests[whole] = r
		news = append(news, CrashUpdate{Server: c.server, Request: r.request, Age: now.Sub(r.at)})
	}
	return news
}

// suspect says in which requests a trait was in flight at a crash.
type suspect struct {
	at time.Time
	// requests are two of the requests at most: more than one is all that counts.
	requests []Trait
	isOwn    bool
}

// evidence holds the crashes of the retention time and, for each trait, those that it may have caused. A request with the trait that was
// completed since disproves that.
type evidence struct {
	options TrackerOptions
	// crashes are ordered by the time at which they became known.
	crashes  []*crash
	byServer map[string][]*crash
	byTrait  map[Trait][]*crash
	// pairs is the number of suspects of all crashes.
	pairs int
}

func newEvidence(options TrackerOptions) *evidence {
	return &evidence{options: options, byServer: map[string][]*crash{}, byTrait: map[Trait][]*crash{}}
}

// add records that the request was in flight on the server when it crashed, and returns the crash. It returns nil if that is known or there
// are too many.
func (e *evidence) add(now, at time.Time, server string, request Request, isOwn bool) *crash {
	c := e.crashAt(at, server)
	if c == nil {
		c = &crash{server: server, at: at, requests: map[Trait]inFlight{}, suspects: map[Trait]*suspect{}}
		e.byServer[server] = append(e.byServer[server], c)
		e.crashes = append(e.crashes, c)
	}
	_, isKnown := c.requests[request.Whole]
	if isKnown || len(c.requests) >= e.options.MaxRequests {
		return nil
	}
	c.requests[request.Whole] = inFlight{request: request, at: at, learnedAt: now, isOwn: isOwn}
	c.learnedAt = now
	return c
}

// crashAt returns the crash of the server around the time, or nil.
func (e *evidence) crashAt(at time.Time, server string) *crash {
	for _, c := range e.byServer[server] {
		if at.Sub(c.at).Abs() <= e.options.CrashWindow {
			return c
		}
	}
	return nil
}

// suspect records that the trait of a request may have caused the crash.
func (e *evidence) suspect(c *crash, at time.Time, trait, whole Trait, isOwn bool) {
	s, ok := c.suspects[trait]
	if !ok {
		s = &suspect{at: at}
		c.suspects[trait] = s
		e.byTrait[trait] = append(e.byTrait[trait], c)
		e.pairs++
	}
	s.isOwn = s.isOwn || isOwn
	if len(s.requests) < 2 && !slices.Contains(s.requests, whole) {
		s.requests = append(s.requests, whole)
	}
}

// disprove removes the crashes before the time from those that the trait may have caused. It reports whether there were any.
func (e *evidence) disprove(at time.Time, trait Trait) bool {
	known := e.byTrait[trait]
	remaining := known[:0:0]
	for _, c := range known {
		if c.suspects[trait].at.After(at) {
			remaining = append(remaining, c)
			continue
		}
		delete(c.suspects, trait)
		e.pairs--
	}
	e.setCrashes(trait, remaining)
	return len(remaining) < len(known)
}

func (e *evidence) setCrashes(trait Trait, crashes []*crash) {
	if len(crashes) == 0 {
		delete(e.byTrait, trait)
		return
	}
	e.byTrait[trait] = crashes
}

// count returns how many crashes the part may have caused that no other part explains, and whether unlike requests with it were in flight.
// Servers that crash at the same moment may have a cause in common that is no request, and count once, unless a request was sent from one to
// the other.
func (e *evidence) count(trait Trait) (crashes int, isShared bool) {
	unexplained := e.unexplained(trait)
	suspects := make([]*suspect, 0, len(unexplained))
	for _, c := range unexplained {
		suspects = append(suspects, c.suspects[trait])
	}
	slices.SortFunc(suspects, func(a, b *suspect) int { return a.at.Compare(b.at) })
	var last *suspect
	requests := map[Trait]bool{}
	for _, s := range suspects {
		if last == nil || s.at.Sub(last.at) >= e.options.MomentLength || slices.ContainsFunc(s.requests, isIn(requests)) {
			crashes++
			last = s
		}
		for _, r := range s.requests {
			requests[r] = true
		}
	}
	return crashes, len(requests) > 1
}

func isIn(set map[Trait]bool) func(trait Trait) bool {
	return func(trait Trait) bool { return set[trait] }
}

// unexplained returns the crashes that the trait may have caused and that no other part explains.
func (e *evidence) unexplained(trait Trait) []*crash {
	return slices.DeleteFunc(slices.Clone(e.byTrait[trait]), func(c *crash) bool { return c.cause != 0 && c.cause != trait })
}

// isOwn reports whether this instance observed one of the crashes that the trait may have caused.
func (e *evidence) isOwn(trait Trait) bool {
	return slices.ContainsFunc(e.byTrait[trait], func(c *crash) bool { return c.suspects[trait].isOwn })
}

// explain attributes all crashes that the trait may have caused to it.
func (e *evidence) explain(trait Trait) {
	for _, c := range e.byTrait[trait] {
		c.cause = trait
	}
}

// unexplain withdraws what explain did for the crashes after the time, and returns their suspects.
func (e *evidence) unexplain(trait Trait, after time.Time) []Trait {
	var suspects []Trait
	for _, c := range e.crashes {
		if c.cause != trait || c.at.Before(after) {
			continue
		}
		c.cause = 0
		for s := range c.suspects {
			suspects = append(suspects, s)
		}
	}
	return suspects
}

// expire forgets the crashes that are older than the retention time, and the oldest ones when there are too many.
func (e *evidence) expire(now time.Time) {
	for len(e.crashes) > 0 {
		oldest := e.crashes[0]
		isFull := len(e.crashes) > e.options.MaxCrashes || e.pairs > e.options.MaxSuspects
		if !isFull && now.Sub(oldest.learnedAt) < e.options.Retention {
			return
		}
		e.remove(oldest)
	}
}

func (e *evidence) remove(c *crash) {
	for trait := range c.suspects {
		e.setCrashes(trait, slices.DeleteFunc(slices.Clone(e.byTrait[trait]), func(other *crash) bool { return other == c }))
	}
	e.pairs -= len(c.suspects)
	e.byServer[c.server] = slices.DeleteFunc(e.byServer[c.server], func(other *crash) bool { return other == c })
	if len(e.byServer[c.server]) == 0 {
		delete(e.byServer, c.server)
	}
	e.crashes = e.crashes[1:]
}
