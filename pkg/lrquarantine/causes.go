package lrquarantine

import (
	"maps"
	"slices"
	"time"
)

// updateCandidate notes whether there is enough evidence against the trait.
func (t *Tracker) updateCandidate(now time.Time, trait Trait, isWhole bool) {
	v, ok := t.verdicts[trait]
	if ok && v.IsQuarantined || !t.hasEnoughEvidence(trait, isWhole) {
		delete(t.candidates, trait)
		return
	}
	_, isCandidate := t.candidates[trait]
	if !isCandidate {
		t.candidates[trait] = candidate{since: now, completed: t.completed}
	}
}

// hasEnoughEvidence reports whether there is enough evidence against the trait for a verdict. Most traits have too few crashes whatever explains
// them.
func (t *Tracker) hasEnoughEvidence(trait Trait, isWhole bool) bool {
	if len(t.evidence.byTrait[trait]) < t.options.MinCrashes {
		return false
	}
	crashes, isShared := t.count(trait, isWhole)
	return crashes >= t.options.MinCrashes && isShared
}

// count returns how many crashes count against the trait, and whether a cause in common explains them better than a single request.
func (t *Tracker) count(trait Trait, isWhole bool) (crashes int, isShared bool) {
	if isWhole {
		return len(t.evidence.unexplained(trait)), true
	}
	return t.evidence.count(trait)
}

const (
	// cheapCandidates is the most candidates that are evaluated with each request.
	cheapCandidates = 64
	// candidatePause is the time between two evaluations of more of them, for each candidate. An evaluation takes some 4 µs for each.
	candidatePause = 50 * time.Microsecond
)

// evaluate quarantines the traits that are the most likely causes of crashes. Prompts with many parts may leave many candidates until further
// requests are completed. They are evaluated less often, so that requests do not wait for one another.
func (t *Tracker) evaluate(now time.Time) {
	if len(t.candidates) > cheapCandidates && now.Before(t.evaluateAfter) {
		return
	}
	t.evaluateAfter = now.Add(time.Duration(len(t.candidates)) * candidatePause)
	for len(t.candidates) > 0 {
		for trait := range t.candidates {
			t.updateCandidate(now, trait, t.evidence.isWhole(trait))
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

// causes returns the candidates that explain most crashes, once their evidence has settled. Parts of which no request was ever completed
// go before others. The result is ambiguous if it does not follow from the crashes which of several parts is the cause.
func (t *Tracker) causes(now time.Time) (traits []Trait, isAmbiguous bool) {
	wholes := t.mostCrashes(t.evidence.isWhole)
	if len(wholes) > 0 {
		return wholes, false
	}
	parts := t.mostCrashes(func(trait Trait) bool { return t.isUnproven(now, trait) })
	isUnproven := len(parts) > 0
	if !isUnproven {
		parts = t.mostCrashes(func(Trait) bool { return true })
	}
	if len(parts) == 0 || now.Sub(t.candidates[parts[0]].since) < t.options.SettleTime {
		return nil, false
	}
	traits = slices.Concat(parts[:1], t.alternatives(parts[0], parts[1:]))
	isAmbiguous = !isUnproven || len(traits) > 1
	if isAmbiguous && t.completed-t.candidates[traits[0]].completed < t.options.MinOthers {
		return nil, false
	}
	return traits, isAmbiguous
}

// maxAlternatives is the most parts that are quarantined beside one because it does not follow from the crashes which of them is the cause. Parts
// that always come together are stopped by any of them, and each verdict is stored on the platform.
const maxAlternatives = 63

// alternatives returns those of the others that explain all crashes which the trait explains.
func (t *Tracker) alternatives(trait Trait, others []Trait) []Trait {
	var alternatives []Trait
	unexplained := t.evidence.unexplained(trait)
	for _, other := range others {
		if len(alternatives) >= maxAlternatives {
			break
		}
		isMissing := func(s crashSuspicion) bool { return !t.evidence.mayHaveCaused(other, s.crash) }
		if !slices.ContainsFunc(unexplained, isMissing) {
			alternatives = append(alternatives, other)
		}
	}
	return alternatives
}

// mostCrashes returns those of the candidates which the filter accepts that have the most crashes.
func (t *Tracker) mostCrashes(accepts func(trait Trait) bool) []Trait {
	var traits []Trait
	most := 0
	for _, trait := range slices.Sorted(maps.Keys(t.candidates)) {
		if !accepts(trait) {
			continue
		}
		crashes, _ := t.count(trait, t.evidence.isWhole(trait))
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
