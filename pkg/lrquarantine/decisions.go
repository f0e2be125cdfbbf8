package lrquarantine

import "time"

// quarantine decides that requests with the trait are rejected.
func (t *Tracker) quarantine(now time.Time, trait Trait, isAmbiguous bool) {
	verdict := Verdict{Trait: trait, IsQuarantined: true, IsAmbiguous: isAmbiguous, Crashes: uint32(t.evidence.crashesOf(trait))}
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
	delete(t.candidates, verdict.Trait)
	if t.options.OnDecision != nil {
		t.options.OnDecision(verdict)
	}
	if !verdict.IsQuarantined {
		t.reconsider(now, verdict.Trait)
		return
	}
	if !t.evidence.isWhole(verdict.Trait) {
		t.evidence.explain(verdict.Trait)
	}
}

// reconsider counts the latest crashes that the trait explained against their other suspects again.
func (t *Tracker) reconsider(now time.Time, trait Trait) {
	for suspect := range t.evidence.unexplain(trait, now.Add(-t.options.LearningTime)) {
		t.updateCandidate(now, suspect, t.evidence.isWhole(suspect))
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
		delete(t.candidates, trait)
	}
	if !isJudged || !v.IsQuarantined || at.Before(v.changedAt) || len(t.evidence.byTrait[trait]) > 0 {
		t.updateCandidate(now, trait, t.evidence.isWhole(trait))
		return
	}
	lifted := Verdict{Trait: trait, Crashes: v.Crashes, Trials: v.Trials}.withVersionAfter(v.Verdict)
	t.announce(now, trait, at)
	t.decide(now, lifted)
	if isOwn {
		t.unsaved[trait], t.unsent[trait] = now, true
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
	delete(t.unsent, trait)
}
