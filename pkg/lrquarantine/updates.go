package lrquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxVerdictsSent is the most verdicts in one message to another instance.
	maxVerdictsSent = 64
	// newsDelay is the time over which the instances spread what they tell of completed requests.
	newsDelay = 300 * time.Millisecond
	// saveDelay is how long an instance that has not observed a crash waits at least until it stores a verdict.
	saveDelay = 2 * time.Second
	// forgetMargin is the time before the end of the retention in which a verdict that the store has lost is not stored again. It exceeds
	// the time between the moments at which the instances forget it.
	forgetMargin = 2 * time.Minute
)

// Updates are what an instance tells the others. Times are ages, since the clocks of instances differ.
type Updates struct {
	Crashes     []CrashUpdate
	Completions []CompletionUpdate
	Verdicts    []VerdictUpdate
}

// A CrashUpdate says that a request was in flight on a server that crashed.
type CrashUpdate struct {
	Server  string
	Request Request
	Age     time.Duration
}

// A CompletionUpdate says that a request with a suspect trait was completed.
type CompletionUpdate struct {
	Trait Trait
	Age   time.Duration
}

// A VerdictUpdate is a verdict, with the times since its last change and since a request with the trait was last seen.
type VerdictUpdate struct {
	Verdict
	Age     time.Duration
	SeenAge time.Duration
}

// Updates returns what other instances shall know: news of the gossip time, and the verdicts that changed last.
func (t *Tracker) Updates(now time.Time) Updates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expireCompletions(now)
	return Updates{
		Crashes: t.crashUpdates(now, t.recentRequests(now)), Completions: t.completionUpdates(now), Verdicts: t.latestVerdicts(now),
	}
}

// IsEmpty reports whether there is nothing to tell.
func (u Updates) IsEmpty() bool {
	return len(u.Crashes) == 0 && len(u.Completions) == 0 && len(u.Verdicts) == 0
}

// TakeNews returns what this instance alone can tell the others and what it has not returned before. It is meant for instances that tell
// every other one, so that none has to pass on what it hears. Of the instances that can tell of the same completed request, each waits for
// a different part of the time, and most hear of it first.
func (t *Tracker) TakeNews(now time.Time) Updates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evaluate(now)
	var news Updates
	news.Crashes = t.crashUpdates(now, t.takeRequests())
	for trait, c := range t.completions {
		isDue := now.Sub(c.learnedAt) >= time.Duration(jitter(t.options.Instance, trait, 0)*float64(newsDelay))
		if c.isTaken || c.isHeard || !isDue || !t.matters(trait) {
			continue
		}
		c.isTaken = true
		t.completions[trait] = c
		news.Completions = append(news.Completions, CompletionUpdate{Trait: trait, Age: now.Sub(c.at)})
	}
	for trait := range t.unsent {
		news.Verdicts = append(news.Verdicts, t.verdicts[trait].update(now))
	}
	clear(t.unsent)
	t.expireCompletions(now)
	return news
}

// matters reports whether a completed request with the trait can change a verdict.
func (t *Tracker) matters(trait Trait) bool {
	_, isCandidate := t.candidates[trait]
	v, ok := t.verdicts[trait]
	return isCandidate || ok && v.IsQuarantined
}

func (t *Tracker) expireCompletions(now time.Time) {
	for trait, c := range t.completions {
		if now.Sub(c.learnedAt) >= t.options.GossipTime {
			delete(t.completions, trait)
		}
	}
}

// Verdicts returns the verdicts that changed last, for an instance that may lack them.
func (t *Tracker) Verdicts(now time.Time) Updates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return Updates{Verdicts: t.latestVerdicts(now)}
}

func (t *Tracker) latestVerdicts(now time.Time) []VerdictUpdate {
	t.evict(now)
	updates := make([]VerdictUpdate, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		updates = append(updates, v.update(now))
	}
	slices.SortFunc(updates, func(a, b VerdictUpdate) int { return cmp.Compare(a.Age, b.Age) })
	return updates[:min(len(updates), maxVerdictsSent)]
}

// Merge applies what another instance knows.
func (t *Tracker) Merge(now time.Time, updates Updates) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, v := range updates.Verdicts {
		t.mergeVerdict(now, v)
	}
	for _, c := range updates.Crashes {
		t.record(now, now.Add(-c.Age), c.Server, c.Request, false)
	}
	for _, c := range updates.Completions {
		t.disprove(now, now.Add(-c.Age), c.Trait, false)
		known, ok := t.completions[c.Trait]
		if ok {
			known.isHeard = true
			t.completions[c.Trait] = known
		}
	}
	t.evaluate(now)
}

func (t *Tracker) mergeVerdict(now time.Time, update VerdictUpdate) {
	at, seenAt := now.Add(-update.Age), now.Add(-update.SeenAge)
	v, ok := t.verdicts[update.Trait]
	if ok && seenAt.After(v.seenAt) {
		v.seenAt = seenAt
	}
	if ok && !update.supersedes(v.Verdict) || now.Sub(seenAt) >= t.options.Retention {
		return
	}
	if !update.IsQuarantined {
		// A completed request has lifted the quarantine.
		t.evidence.disprove(at, update.Trait)
		t.successes.add(at, update.Trait)
	}
	t.decide(now, update.Verdict)
	v = t.verdicts[update.Trait]
	v.changedAt, v.seenAt = at, seenAt
	if update.IsQuarantined && t.evidence.isOwn(update.Trait) {
		t.saveLater(now, update.Trait)
	}
	if completedAt := t.successes.last(update.Trait); update.IsQuarantined && completedAt.After(at) {
		t.disprove(now, completedAt, update.Trait, true)
	}
}

// Unsaved returns the verdicts that this instance has to store now.
func (t *Tracker) Unsaved(now time.Time) []Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var verdicts []Verdict
	for trait, due := range t.unsaved {
		v, ok := t.verdicts[trait]
		if ok && !now.Before(due) {
			verdicts = append(verdicts, v.Verdict)
		}
	}
	return verdicts
}

// Saved records that the verdict, or one that supersedes it, is stored.
func (t *Tracker) Saved(verdict Verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v, ok := t.verdicts[verdict.Trait]
	if ok && v.Version <= verdict.Version {
		delete(t.unsaved, verdict.Trait)
	}
}

// SaveAt makes this instance store the verdict at the given time, unless it holds another one by now.
func (t *Tracker) SaveAt(at time.Time, verdict Verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v, ok := t.verdicts[verdict.Trait]
	if ok && v.Version == verdict.Version {
		t.unsaved[verdict.Trait] = at
	}
}

// SaveLost makes this instance store the verdicts that the list of stored ones lacks or has in an earlier version, since the store has
// come back from an older copy. It stores them after the delay, and after the time in which an instance that has just decided one stores
// it. A verdict that is soon forgotten is left out, so that the instances do not store it and delete it in turns.
func (t *Tracker) SaveLost(now time.Time, stored func(trait Trait) (Verdict, bool), delay time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evict(now)
	for trait, v := range t.verdicts {
		_, isDue := t.unsaved[trait]
		last, isStored := stored(trait)
		isLost := last.Version < v.Version && (isStored || v.IsQuarantined)
		if isDue || !isLost || now.Sub(v.seenAt) >= t.options.Retention-forgetMargin {
			continue
		}
		t.unsaved[trait] = now.Add(saveDelay + delay)
	}
}

// Knows reports whether the Tracker holds a verdict on the trait.
func (t *Tracker) Knows(now time.Time, trait Trait) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evict(now)
	_, ok := t.verdicts[trait]
	return ok
}

// Quarantined returns the number of quarantined traits.
func (t *Tracker) Quarantined() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for _, v := range t.verdicts {
		if v.IsQuarantined {
			count++
		}
	}
	return count
}

// Omitted returns how many suspects, requests and crashes were left out or forgotten early because there were too many.
func (t *Tracker) Omitted() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.evidence.omitted
}
