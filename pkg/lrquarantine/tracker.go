package lrquarantine

import (
	"maps"
	"slices"
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
	// ripe holds the traits whose evidence suffices for a verdict, but for its ambiguity.
	ripe     map[Trait]ripeness
	verdicts map[Trait]*heldVerdict
	// completions holds what other instances shall know of completed requests with suspect traits.
	completions map[Trait]completion
	// unsaved holds when this instance has to store a verdict, and untold the verdicts that are news to other instances.
	unsaved map[Trait]time.Time
	untold  map[Trait]bool
}

// ripeness is since when a trait has had enough evidence against it.
type ripeness struct {
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
		options: options, startedAt: now, evidence: newEvidence(options), successes: newSuccesses(options.MaxSuccesses), ripe: map[Trait]ripeness{},
		verdicts: map[Trait]*heldVerdict{}, completions: map[Trait]completion{}, unsaved: map[Trait]time.Time{}, untold: map[Trait]bool{},
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
	for _, trait := range t.traits(request) {
		v, ok := t.verdicts[trait]
		if !ok || !v.IsQuarantined {
			continue
		}
		next := v.withVersionAfter(v.Verdict)
		next.Trials++
		t.decide(now, next)
		t.unsaved[trait], t.untold[trait] = now, true
	}
	return decision
}

func (t *Tracker) check(now time.Time, request Request) Decision {
	t.evaluate(now)
	var decision Decision
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
	for _, part := range request.Parts {
		r, ok := t.ripe[part]
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
	c := t.evidence.add(now, at, server, request, isOwn)
	if c == nil {
		return
	}
	for _, trait := range t.traits(request) {
		completedAt := t.successes.last(trait)
		if !completedAt.IsZero() {
			t.announce(now, trait, completedAt)
		}
		if completedAt.After(at) {
			continue
		}
		t.evidence.suspect(c, at, trait, request.Whole, isOwn)
		v, ok := t.verdicts[trait]
		if ok && v.IsQuarantined {
			t.extend(at, v, c)
		}
		t.ripen(now, trait, trait == request.Whole)
	}
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
	v.Crashes = max(v.Crashes, uint32(len(t.evidence.byTrait[v.Trait])))
	if !t.isWhole(v.Trait) {
		c.cause = v.Trait
	}
}

// ripen notes whether there is enough evidence against the trait.
func (t *Tracker) ripen(now time.Time, trait Trait, isWhole bool) {
	v, ok := t.verdicts[trait]
	crashes, isShared := t.count(trait, isWhole)
	if ok && v.IsQuarantined || crashes < t.options.MinCrashes || !isShared {
		delete(t.ripe, trait)
		return
	}
	_, isRipe := t.ripe[trait]
	if !isRipe {
		t.ripe[trait] = ripeness{since: now, completed: t.completed}
	}
}

// count returns how many crashes count against the trait, and whether a cause in common explains them better than a single request.
func (t *Tracker) count(trait Trait, isWhole bool) (crashes int, isShared bool) {
	if isWhole {
		return len(t.evidence.unexplained(trait)), true
	}
	return t.evidence.count(trait)
}

// evaluate quarantines the traits that are the most likely causes of crashes.
func (t *Tracker) evaluate(now time.Time) {
	for len(t.ripe) > 0 {
		for trait := range t.ripe {
			t.ripen(now, trait, t.isWhole(trait))
		}
		traits, isAmbiguous := t.causes(now)
		if len(traits) == 0 {
			return
		}
		for _, trait := range traits {
			t.quarantine(now, trait, isAmbiguous)
		}
	}
}

// causes returns the ripe traits that explain most crashes, once their evidence has settled. Parts of which no request was ever completed
// go before others. The result is ambiguous if it does not follow from the crashes which of several parts is the cause.
func (t *Tracker) causes(now time.Time) (traits []Trait, isAmbiguous bool) {
	wholes := t.mostCrashes(t.isWhole)
	if len(wholes) > 0 {
		return wholes, false
	}
	candidates := t.mostCrashes(func(trait Trait) bool { return t.isUnproven(now, trait) })
	isUnproven := len(candidates) > 0
	if !isUnproven {
		candidates = t.mostCrashes(func(Trait) bool { return true })
	}
	if len(candidates) == 0 || now.Sub(t.ripe[candidates[0]].since) < t.options.SettleTime {
		return nil, false
	}
	traits = slices.Concat(candidates[:1], t.alternatives(candidates[0], candidates[1:]))
	isAmbiguous = !isUnproven || len(traits) > 1
	if isAmbiguous && t.completed-t.ripe[traits[0]].completed < t.options.MinOthers {
		return nil, false
	}
	return traits, isAmbiguous
}

// alternatives returns those of the others that explain all crashes which the trait explains.
func (t *Tracker) alternatives(trait Trait, others []Trait) []Trait {
	var alternatives []Trait
	for _, other := range others {
		isMissing := func(c *crash) bool { return c.suspects[other] == nil }
		if !slices.ContainsFunc(t.evidence.unexplained(trait), isMissing) {
			alternatives = append(alternatives, other)
		}
	}
	return alternatives
}

// mostCrashes returns those of the ripe traits which the filter accepts that have the most crashes.
func (t *Tracker) mostCrashes(accepts func(trait Trait) bool) []Trait {
	var traits []Trait
	most := 0
	for _, trait := range slices.Sorted(maps.Keys(t.ripe)) {
		if !accepts(trait) {
			continue
		}
		crashes, _ := t.count(trait, t.isWhole(trait))
		if crashes > most {
			traits, most = nil, crashes
		}
		if crashes == most {
			traits = append(traits, trait)
		}
	}
	return traits
}

// isUnproven reports whether no completed request had the part, as far as this instance knows, which has been running for long enough.
func (t *Tracker) isUnproven(now time.Time, trait Trait) bool {
	return now.Sub(t.startedAt) >= t.options.LearningTime && t.successes.last(trait).IsZero()
}

// isWhole reports whether the suspect trait is that of a whole request.
func (t *Tracker) isWhole(trait Trait) bool {
	for _, c := range t.evidence.byTrait[trait] {
		_, ok := c.requests[trait]
		if ok {
			return true
		}
	}
	return false
}

// quarantine decides that requests with the trait are rejected.
func (t *Tracker) quarantine(now time.Time, trait Trait, isAmbiguous bool) {
	verdict := Verdict{Trait: trait, IsQuarantined: true, IsAmbiguous: isAmbiguous, Crashes: uint32(len(t.evidence.byTrait[trait]))}
	before, ok := t.verdicts[trait]
	if ok {
		verdict = verdict.withVersionAfter(before.Verdict)
	} else {
		verdict = verdict.withVersionAfter(Verdict{})
	}
	t.decide(now, verdict)
	t.saveLater(now, trait)
}

// saveLater makes this instance store the verdict: at once if it has observed one of the crashes itself, and otherwise so much later that
// another instance is likely to have stored it.
func (t *Tracker) saveLater(now time.Time, trait Trait) {
	if !t.evidence.isOwn(trait) {
		now = now.Add(saveDelay + time.Duration(jitter(t.options.Instance, trait, 0)*float64(saveDelay)))
	}
	t.unsaved[trait] = now
}

// decide puts the verdict in force.
func (t *Tracker) decide(now time.Time, verdict Verdict) {
	t.evict(now)
	v, ok := t.verdicts[verdict.Trait]
	if !ok {
		v = &heldVerdict{seenAt: now}
		t.verdicts[verdict.Trait] = v
	}
	v.Verdict, v.changedAt = verdict, now
	delete(t.ripe, verdict.Trait)
	if t.options.OnDecision != nil {
		t.options.OnDecision(verdict)
	}
	if !verdict.IsQuarantined {
		t.reconsider(now, verdict.Trait)
		return
	}
	if !t.isWhole(verdict.Trait) {
		t.evidence.explain(verdict.Trait)
	}
}

// reconsider counts the latest crashes that the trait explained against their other suspects again.
func (t *Tracker) reconsider(now time.Time, trait Trait) {
	for _, suspect := range t.evidence.unexplain(trait, now.Add(-t.options.LearningTime)) {
		t.ripen(now, suspect, t.isWhole(suspect))
	}
}

// disprove records that a request with the trait was completed, which ends a quarantine of the trait.
func (t *Tracker) disprove(now, at time.Time, trait Trait, isOwn bool) {
	v, isJudged := t.verdicts[trait]
	if len(t.evidence.byTrait[trait]) == 0 && !isJudged {
		return
	}
	isNews := t.evidence.disprove(at, trait) || t.successes.last(trait).IsZero()
	t.successes.add(at, trait)
	if isNews {
		t.announce(now, trait, at)
		// The evidence that is left has to settle anew, since news of further completed requests may be on its way.
		delete(t.ripe, trait)
	}
	if !isJudged || !v.IsQuarantined || at.Before(v.changedAt) || len(t.evidence.byTrait[trait]) > 0 {
		t.ripen(now, trait, t.isWhole(trait))
		return
	}
	lifted := Verdict{Trait: trait, Crashes: v.Crashes, Trials: v.Trials}.withVersionAfter(v.Verdict)
	t.announce(now, trait, at)
	t.decide(now, lifted)
	if isOwn {
		t.unsaved[trait], t.untold[trait] = now, true
	}
}

// evict forgets verdicts on traits that have not been seen for the retention time, and the one that was not seen for longest when there are
// too many.
func (t *Tracker) evict(now time.Time) {
	var oldest *heldVerdict
	for trait, v := range t.verdicts {
		if now.Sub(v.seenAt) >= t.options.Retention {
			t.forget(trait)
			continue
		}
		if oldest == nil || v.seenAt.Before(oldest.seenAt) {
			oldest = v
		}
	}
	if len(t.verdicts) >= t.options.MaxVerdicts {
		t.forget(oldest.Trait)
	}
}

func (t *Tracker) forget(trait Trait) {
	delete(t.verdicts, trait)
	delete(t.unsaved, trait)
	delete(t.untold, trait)
}
