package lrquarantine

import (
	"slices"
	"time"
)

// maxRequestsPerTrait is the most requests of one crash that are recorded for a trait. More than one is all that counts.
const maxRequestsPerTrait = 2

// crash is one crash of a server, with the requests that were in flight there.
type crash struct {
	server string
	at     time.Time
	// learnedAt is when the last request in flight was added.
	learnedAt time.Time
	requests  map[Trait]*inFlight
	// cause is the quarantined part that explains the crash, or zero.
	cause Trait
}

// inFlight is a request that was in flight on a server that crashed.
type inFlight struct {
	crash     *crash
	whole     Trait
	at        time.Time
	learnedAt time.Time
	// suspects are the traits for which the request was recorded. Those that are disproved since are among them.
	suspects []Trait
	// isOwn is set when this instance observed the crash itself, and isTaken when it is news no longer.
	isOwn   bool
	isTaken bool
}

// evidence holds the crashes of the retention time and, for each trait, the requests by which it may have caused them. A request with the trait
// that was completed since disproves that.
type evidence struct {
	options TrackerOptions
	// crashes are ordered by the time at which they became known.
	crashes  []*crash
	byServer map[string][]*crash
	byTrait  map[Trait][]*inFlight
	// suspicions is the number of requests in byTrait.
	suspicions int
	// omitted counts what was left out or forgotten early because a bound was reached.
	omitted uint64
}

func newEvidence(options TrackerOptions) *evidence {
	return &evidence{options: options, byServer: map[string][]*crash{}, byTrait: map[Trait][]*inFlight{}}
}

// add records that the request was in flight on the server when it crashed, unless that is known. It returns nil if there are too many.
func (e *evidence) add(now, at time.Time, server string, whole Trait, isOwn bool) *inFlight {
	c := e.crashAt(at, server)
	if c == nil {
		c = &crash{server: server, at: at, requests: map[Trait]*inFlight{}}
		e.byServer[server] = append(e.byServer[server], c)
		e.crashes = append(e.crashes, c)
	}
	known, isKnown := c.requests[whole]
	if isKnown {
		return known
	}
	if len(c.requests) >= e.options.MaxRequests {
		e.omitted++
		return nil
	}
	r := &inFlight{crash: c, whole: whole, at: at, learnedAt: now, isOwn: isOwn}
	c.requests[whole], c.learnedAt = r, now
	return r
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

// suspect records that the trait of the request, which is no suspect yet, may have caused the crash.
func (e *evidence) suspect(r *inFlight, trait Trait) {
	known := e.byTrait[trait]
	sameCrash, isOwn := 0, false
	for _, other := range known {
		if other.crash == r.crash {
			sameCrash++
			isOwn = isOwn || other.isOwn
		}
	}
	// An instance that has observed the crash stores a verdict on the trait, and so one such request is always recorded.
	if sameCrash >= maxRequestsPerTrait && (isOwn || !r.isOwn) {
		return
	}
	r.suspects = append(r.suspects, trait)
	e.byTrait[trait] = append(known, r)
	e.suspicions++
}

// isSuspect reports whether the trait of the request may still have caused the crash.
func (e *evidence) isSuspect(r *inFlight, trait Trait) bool {
	return slices.Contains(e.byTrait[trait], r)
}

// mayHaveCaused reports whether the trait may have caused the crash.
func (e *evidence) mayHaveCaused(trait Trait, c *crash) bool {
	return slices.ContainsFunc(e.byTrait[trait], func(r *inFlight) bool { return r.crash == c })
}

// disprove removes the requests before the time from those by which the trait may have caused crashes. It reports whether there were any.
func (e *evidence) disprove(at time.Time, trait Trait) bool {
	return e.removeIf(trait, func(r *inFlight) bool { return !r.at.After(at) })
}

// removeIf removes requests of the trait. It reports whether there were any.
func (e *evidence) removeIf(trait Trait, isRemoved func(r *inFlight) bool) bool {
	known := e.byTrait[trait]
	if !slices.ContainsFunc(known, isRemoved) {
		return false
	}
	remaining := slices.DeleteFunc(slices.Clone(known), isRemoved)
	e.suspicions -= len(known) - len(remaining)
	if len(remaining) == 0 {
		delete(e.byTrait, trait)
		return true
	}
	e.byTrait[trait] = remaining
	return true
}

// crashSuspicion says since when and in which requests a trait was in flight at one crash.
type crashSuspicion struct {
	crash    *crash
	at       time.Time
	requests []Trait
}

// unexplained returns the crashes that the trait may have caused and that no other part explains, in their order.
func (e *evidence) unexplained(trait Trait) []crashSuspicion {
	known := e.byTrait[trait]
	unexplained := make([]crashSuspicion, 0, len(known))
	for _, r := range known {
		if r.crash.cause != 0 && r.crash.cause != trait {
			continue
		}
		n := slices.IndexFunc(unexplained, func(s crashSuspicion) bool { return s.crash == r.crash })
		if n < 0 {
			unexplained = append(unexplained, crashSuspicion{crash: r.crash, at: r.at, requests: []Trait{r.whole}})
			continue
		}
		unexplained[n].requests = append(unexplained[n].requests, r.whole)
	}
	slices.SortFunc(unexplained, func(a, b crashSuspicion) int { return a.at.Compare(b.at) })
	return unexplained
}

// count returns how many crashes the part may have caused that no other part explains, and whether unlike requests with it were in flight.
// Servers that crash at the same moment may have a cause in common that is no request, and count once, unless a request was sent from one to
// the other.
func (e *evidence) count(trait Trait) (crashes int, isShared bool) {
	var last time.Time
	requests := map[Trait]bool{}
	for _, s := range e.unexplained(trait) {
		if last.IsZero() || s.at.Sub(last) >= e.options.MomentLength || slices.ContainsFunc(s.requests, isIn(requests)) {
			crashes++
			last = s.at
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

// isOwn reports whether this instance observed one of the crashes that the trait may have caused.
func (e *evidence) isOwn(trait Trait) bool {
	return slices.ContainsFunc(e.byTrait[trait], func(r *inFlight) bool { return r.isOwn })
}

// isWhole reports whether the suspect trait is that of a whole request.
func (e *evidence) isWhole(trait Trait) bool {
	return slices.ContainsFunc(e.byTrait[trait], func(r *inFlight) bool { return r.whole == trait })
}

// crashesOf returns the number of crashes that the trait may have caused, explained ones included.
func (e *evidence) crashesOf(trait Trait) int {
	crashes := map[*crash]bool{}
	for _, r := range e.byTrait[trait] {
		crashes[r.crash] = true
	}
	return len(crashes)
}

// explain attributes all crashes that the trait may have caused to it.
func (e *evidence) explain(trait Trait) {
	for _, r := range e.byTrait[trait] {
		r.crash.cause = trait
	}
}

// unexplain withdraws what explain did for the crashes after the time, and returns their suspects.
func (e *evidence) unexplain(trait Trait, after time.Time) map[Trait]bool {
	suspects := map[Trait]bool{}
	for _, c := range e.crashes {
		if c.cause != trait || c.at.Before(after) {
			continue
		}
		c.cause = 0
		for _, r := range c.requests {
			for _, s := range r.suspects {
				suspects[s] = true
			}
		}
	}
	return suspects
}

// expire forgets the crashes that are older than the retention time, and the oldest ones when there are too many.
func (e *evidence) expire(now time.Time) {
	for len(e.crashes) > 0 {
		oldest := e.crashes[0]
		isFull := len(e.crashes) > e.options.MaxCrashes || e.suspicions > e.options.MaxSuspicions
		if !isFull && now.Sub(oldest.learnedAt) < e.options.Retention {
			return
		}
		if isFull {
			e.omitted++
		}
		e.remove(oldest)
	}
}

func (e *evidence) remove(c *crash) {
	for _, r := range c.requests {
		for _, trait := range r.suspects {
			e.removeIf(trait, func(other *inFlight) bool { return other == r })
		}
	}
	e.byServer[c.server] = slices.DeleteFunc(e.byServer[c.server], func(other *crash) bool { return other == c })
	if len(e.byServer[c.server]) == 0 {
		delete(e.byServer, c.server)
	}
	e.crashes = e.crashes[1:]
}
