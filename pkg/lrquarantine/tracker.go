package lrquarantine

import (
	"sync"
	"time"
)

// A Tracker finds out which traits of requests crash servers, and quarantines them. It is safe for use by several goroutines.
//
// Each trait of a request that was in flight on a server that crashed is a suspect, until a request with it is completed. A trait with
// which several servers have crashed since is quarantined: requests with it are rejected. A part of a prompt also needs unlike requests
// among them, since otherwise the request as a whole may be the cause. The crashes that a quarantined part explains no longer count
// against the other parts of the requests. Before the verdict on a part, the news of other instances is awaited; requests with a part that
// no completed request had are delayed meanwhile.
//
// A quarantined trait is tried again, by one request at a time and ever less often, so that a wrong verdict ends.
type Tracker struct {
	options   TrackerOptions
	mutex     sync.Mutex
	startedAt time.Time
	evidence  *evidence
	successes *successes
	// completed is the number of completed requests with parts.
	completed uint64
	// candidates holds the traits against which there is enough evidence for a verdict once it has settled.
	candidates map[Trait]candidate
	// evaluateAfter is when many candidates are evaluated next.
	evaluateAfter time.Time
	verdicts      map[Trait]*heldVerdict
	// completions holds what other instances shall know of completed requests with suspect traits.
	completions map[Trait]completion
	// unsaved holds when this instance has to store a verdict, and unsent the verdicts that are news to other instances.
	unsaved map[Trait]time.Time
	unsent  map[Trait]bool
}

// candidate says since when there has been enough evidence against a trait.
type candidate struct {
	since time.Time
	// completed is the number of completed requests at that time.
	completed uint64
}

// completion says when a request with a suspect trait was completed.
type completion struct {
	at        time.Time
	learnedAt time.Time
	// isHeard is set when another instance has told of it, and isTaken when it is news no longer.
	isHeard bool
	isTaken bool
}

// An Admission says whether a request may be sent to a server.
type Admission int

const (
	// Admitted requests may be sent.
	Admitted Admission = iota
	// Delayed requests must wait, since it is about to be decided whether they crash servers.
	Delayed
	// Rejected requests must not be sent.
	Rejected
)

// A Decision says whether a request may be sent to a server, and why not.
type Decision struct {
	Admission
	// Verdict is the one that a rejection is based on.
	Verdict Verdict
	// Wait is how long a delayed request waits, or the time until a rejected one may be tried again.
	Wait time.Duration
}

// NewTracker returns a Tracker that suspects nothing.
func NewTracker(now time.Time, options TrackerOptions) *Tracker {
	return &Tracker{
		options: options, startedAt: now, evidence: newEvidence(options), successes: newSuccesses(now, options.MaxSuccesses), candidates: map[Trait]candidate{},
		verdicts: map[Trait]*heldVerdict{}, completions: map[Trait]completion{}, unsaved: map[Trait]time.Time{}, unsent: map[Trait]bool{},
	}
}

// Check decides on a request that has not been sent to a server yet.
func (t *Tracker) Check(now time.Time, request Request) Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	decision := t.check(now, request)
	if decision.Admission == Rejected {
		return decision
	}
	wait := t.delay(now, request)
	if wait > 0 {
		return Decision{Admission: Delayed, Wait: wait}
	}
	return decision
}

// Begin decides on a request for which a server has been chosen. It delays none, since Check has done so. An admitted request is the trial
// of its quarantined traits, if it has any.
func (t *Tracker) Begin(now time.Time, request Request) Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	decision := t.check(now, request)
	if decision.Admission == Rejected {
		return decision
	}
	if len(t.verdicts) == 0 {
		return decision
	}
	for _, trait := range t.traits(request) {
		v, ok := t.verdicts[trait]
		if !ok || !v.IsQuarantined {
			continue
		}
		next := v.withVersionAfter(v.Verdict)
		next.Trials++
		t.decide(now, next)
		t.unsaved[trait], t.unsent[trait] = now, true
	}
	return decision
}

func (t *Tracker) check(now time.Time, request Request) Decision {
	t.evaluate(now)
	var decision Decision
	if len(t.verdicts) == 0 {
		return decision
	}
	for _, trait := range t.traits(request) {
		v, ok := t.verdicts[trait]
		if !ok || !v.IsQuarantined {
			continue
		}
		v.seenAt = now
		wait := v.trialAt(t.options).Sub(now)
		if wait > decision.Wait {
			decision = Decision{Admission: Rejected, Verdict: v.Verdict, Wait: wait}
		}
	}
	return decision
}

// delay returns how long the request has to wait until the verdict on its parts.
func (t *Tracker) delay(now time.Time, request Request) time.Duration {
	var wait time.Duration
	if len(t.candidates) == 0 {
		return wait
	}
	for _, part := range request.Parts {
		r, ok := t.candidates[part]
		if !ok || !t.isUnproven(now, part) || now.Sub(r.since) >= t.options.MaxDelay {
			continue
		}
		wait = max(wait, t.options.SettleTime-now.Sub(r.since), minDelay)
	}
	return wait
}

// Crashed records that the server crashed while it ran the request. The name of the server must differ between its starts.
func (t *Tracker) Crashed(now time.Time, server string, request Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record(now, now, server, request, true)
	t.evaluate(now)
}

// Completed records that a server has completed a request.
func (t *Tracker) Completed(now time.Time, request Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(request.Parts) > 0 {
		t.completed++
	}
	for _, trait := range t.traits(request) {
		t.disprove(now, now, trait, true)
	}
	for _, part := range request.Parts {
		t.successes.add(now, part)
	}
}

// record adds a request that was in flight on a server that crashed.
func (t *Tracker) record(now, at time.Time, server string, request Request, isOwn bool) {
	t.evidence.expire(now)
	r := t.evidence.add(now, at, server, request.Whole, isOwn)
	if r == nil {
		return
	}
	for _, trait := range t.traits(request) {
		if t.evidence.isSuspect(r, trait) {
			// Other instances tell of a crash again and again.
			continue
		}
		completedAt := t.successes.last(trait)
		if !completedAt.IsZero() {
			t.announce(now, trait, completedAt)
		}
		if completedAt.After(at) || t.isCrowdedOut(completedAt) {
			continue
		}
		t.evidence.suspect(r, trait)
		v, ok := t.verdicts[trait]
		if ok && v.IsQuarantined {
			t.extend(at, v, r.crash)
		}
		t.updateCandidate(now, trait, trait == request.Whole)
	}
}

// isCrowdedOut reports whether a trait with which a request was completed at the time is no suspect because too many are remembered. Half of the
// space is kept for traits that no completed request had, which are the more likely causes.
func (t *Tracker) isCrowdedOut(completedAt time.Time) bool {
	if completedAt.IsZero() || t.evidence.suspicions < t.options.MaxSuspicions/2 {
		return false
	}
	t.evidence.omitted++
	return true
}

// traits returns the traits of the request that are judged.
func (t *Tracker) traits(request Request) []Trait {
	if t.options.PartsOnly {
		return request.Parts
	}
	return request.traits()
}

// announce makes known to other instances that a request with the trait was completed at the time.
func (t *Tracker) announce(now time.Time, trait Trait, at time.Time) {
	known, ok := t.completions[trait]
	if !ok || known.at.Before(at) {
		t.completions[trait] = completion{at: at, learnedAt: now, isHeard: known.isHeard}
	}
}

// extend adds a crash to those of a quarantined trait.
func (t *Tracker) extend(at time.Time, v *heldVerdict, c *crash) {
	if at.After(v.changedAt) {
		v.changedAt = at
	}
	v.Crashes = max(v.Crashes, uint32(t.evidence.crashesOf(v.Trait)))
	if !t.evidence.isWhole(v.Trait) {
		c.cause = v.Trait
	}
}
