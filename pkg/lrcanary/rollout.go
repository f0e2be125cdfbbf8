package lrcanary

import (
	"maps"
	"time"
)

const (
	// maxHolderAge is how long a stage is followed without news of a holder. It is shorter than the time within which a bad release must
	// get nothing any more, since an instance that is cut off does not learn of the verdict.
	maxHolderAge = 3 * time.Second
	// snapshotInterval is the time between two snapshots of the evidence, and recentTime how far the recent evidence reaches back.
	snapshotInterval = 500 * time.Millisecond
	recentTime       = 3 * time.Second
	// finishFactor is how many times the usual time of the slowest route old servers may need for the requests that they have, and
	// finishMargin the time to tell of that and to store the status.
	finishFactor = 2
	finishMargin = time.Second
	// earliestPart is the part of the duration in which the new release is observed at least.
	earliestPart = 0.4
	// judgeInterval is the time between two looks at the evidence.
	judgeInterval = 100 * time.Millisecond
	// minNewAnswers is the number of answers of the new release from which the traffic may move.
	minNewAnswers = 20
	// minObservation is how long the new release is observed at least when its servers appear late.
	minObservation = 2 * time.Second
	// missingAfter is how long instances must be out of reach until they are taken to have ended.
	missingAfter = 3 * time.Second
	// latePart is the part of the duration from which fewer answers than minNewAnswers are enough.
	latePart = 0.9
	// doubtPart is the part of the duration until which a release in doubt is observed.
	doubtPart = 0.8
	// startTime is the time after the start of an instance within which an order that is running already may be from before the start.
	startTime = 5 * time.Second
)

// rollout is what an instance knows of one order.
type rollout struct {
	entry    Entry
	order    uint64
	schedule schedule
	// orderedAt is when the first instance learned of the order. It is a guess after a restart until another instance tells the time.
	orderedAt time.Time
	isGuessed bool
	stage     Stage
	stageAt   time.Time
	// holderAt is when a holder last confirmed the stage.
	holderAt time.Time
	verdict  string
	// confirmedFence is the fencing number under which this instance has stored that the roll-out is running.
	confirmedFence uint64
	// isWithdrawn is set when the entry is gone.
	isWithdrawn bool
	// isRestored is set when the store comes back from an older copy, until it holds again what is known of the order.
	isRestored bool
	// banned are releases of earlier orders that were not completed.
	banned map[string]bool
	// hadOld is set once a server of another release was listed, hasOld and hasNew while there is one of each.
	hadOld, hasOld, hasNew bool
	toNew, toOld           *Filter
	// newGroups are the groups of the listed servers of the new release.
	newGroups map[uint8]bool
	// credit is the fraction of a request that is due to the canary.
	credit    float64
	usual     map[string]Counts
	snapshots []snapshot
	// judgedAt is when the evidence was last judged.
	judgedAt time.Time
}

// snapshot is the evidence at a time.
type snapshot struct {
	at       time.Time
	evidence Evidence
}

// share returns the share of the requests that goes to the new release now.
func (r *rollout) share(now time.Time) float64 {
	switch {
	case r.stage == Moved:
		return 1
	case r.isWithdrawn || !r.hasNew:
		return 0
	case r.stage == Full:
		// An instance that is cut off later goes on like this, so that the old servers may stop without it.
		return 1
	case now.Sub(r.holderAt) > maxHolderAge:
		return 0
	default:
		return shareOf(r.stage, r.schedule.observed)
	}
}

// takeNew decides whether an attempt goes to the new release. Each instance counts for itself: its share is exact up to one request, and
// that of all instances is unbiased, since each starts with a random credit. A repeated request goes to the old release.
func (r *rollout) takeNew(now time.Time, isFirst bool) bool {
	share := r.share(now)
	if share >= 1 {
		return true
	}
	if !isFirst || share <= 0 {
		return false
	}
	r.credit += share
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// setServers derives the filters from the listed servers of the service.
func (r *rollout) setServers(servers []Server) {
	old, other := 0, 0
	r.hasNew, r.newGroups = false, map[uint8]bool{}
	for _, s := range servers {
		switch {
		case s.Release == r.entry.To:
			r.hasNew = true
			r.newGroups[GroupOf(s.ID)] = true
		case r.banned[s.Release]:
			other++
		default:
			old++
		}
	}
	r.hasOld = old > 0
	r.hadOld = r.hadOld || r.hasOld
	r.toNew = &Filter{releases: map[string]bool{r.entry.To: true}, isOnly: true}
	if r.stage == Moved && !r.hasNew {
		r.toNew = nil
	}
	if r.stage > Waiting && r.stage < Full && r.hadOld {
		r.toNew.servers = canaries(r.order, servers, r.entry.To, old, shareOf(r.stage, r.schedule.observed))
	}
	r.toOld = r.oldFilter(old, other)
}

// oldFilter returns the filter of requests that are not for the canary. Where there has been no old server, there is nothing to move from
// and nothing to protect.
func (r *rollout) oldFilter(old, other int) *Filter {
	excluded := maps.Clone(r.banned)
	if excluded == nil {
		excluded = map[string]bool{}
	}
	if r.hadOld {
		excluded[r.entry.To] = true
	}
	hasNone := old == 0 && (!r.hasNew || r.isWithdrawn)
	if hasNone && (r.isWithdrawn || !r.hadOld) || len(excluded) == 0 {
		return nil
	}
	if old == 0 && other == 0 && !r.hasNew {
		return nil
	}
	return &Filter{releases: excluded}
}

// enter changes the stage if the given one is later, and reports whether it did.
func (r *rollout) enter(now time.Time, stage Stage) bool {
	if stage <= r.stage {
		return false
	}
	r.stage, r.stageAt = stage, now
	return true
}

// isJudged reports whether evidence on the release is still of use.
func (r *rollout) isJudged() bool {
	return !r.isWithdrawn && r.hadOld && r.stage >= Observing && r.stage <= Full && !r.entry.Decision().IsFinal()
}

// recent returns the evidence that has come in within recentTime, and keeps a snapshot for later.
func (r *rollout) recent(now time.Time, total Evidence) Evidence {
	if len(r.snapshots) == 0 || now.Sub(r.snapshots[len(r.snapshots)-1].at) >= snapshotInterval {
		r.snapshots = append(r.snapshots, snapshot{at: now, evidence: maps.Clone(total)})
	}
	for len(r.snapshots) > 1 && now.Sub(r.snapshots[1].at) >= recentTime {
		r.snapshots = r.snapshots[1:]
	}
	recent := maps.Clone(total)
	if now.Sub(r.snapshots[0].at) >= recentTime {
		recent.Subtract(r.snapshots[0].evidence)
	}
	return recent
}

// updateUsual derives the usual times of the old release from the evidence.
func (r *rollout) updateUsual(total Evidence) {
	r.usual = map[string]Counts{}
	for key, c := range total {
		if key.Order == r.order && !key.IsNew {
			r.usual[key.Route] = r.usual[key.Route].Plus(c)
		}
	}
}

func (r *rollout) exam() exam { return exam{order: r.order, hasSeveral: len(r.newGroups) > 1} }

// next returns the stage that follows now, decided by the holder, and a verdict if the release is bad.
func (r *rollout) next(now time.Time, total Evidence) (Stage, string) {
	age, inStage := now.Sub(r.orderedAt), now.Sub(r.stageAt)
	switch r.stage {
	case Waiting:
		return Observing, ""
	case Observing:
		moveAt := r.moveAt()
		if age < moveAt || inStage < min(minObservation, moveAt/2) {
			return Observing, ""
		}
		return r.afterObservation(age, total)
	case Quarter, Half:
		if inStage < r.schedule.step {
			return r.stage, ""
		}
		return r.stage + 1, ""
	default:
		return r.stage, ""
	}
}

// moveAt returns when the observation ends: so early that the requests at old servers can end within the duration.
func (r *rollout) moveAt() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.usual {
		longest = max(longest, c.usualTime())
	}
	needed := 2*r.schedule.step + finishFactor*longest + finishMargin
	earliest := time.Duration(earliestPart * float64(r.entry.Duration))
	return min(r.schedule.moveAt, max(r.entry.Duration-needed, earliest))
}

// afterObservation decides at the end of the observation whether the evidence is enough to move the traffic.
func (r *rollout) afterObservation(age time.Duration, total Evidence) (Stage, string) {
	n, old := total.total(r.order, true), total.total(r.order, false)
	v, isBad := r.exam().judgeLate(total)
	hasTraffic := old.Answers >= minOldAnswers
	switch {
	case isBad && r.hadOld:
		return Rejected, v.String()
	case n.Answers == 0 && hasTraffic && r.hadOld && age >= r.entry.Duration:
		return Rejected, Verdict{Reason: reasonSilent, Old: old, Chance: 0}.String()
	case n.Answers == 0 && hasTraffic && r.hadOld:
		return Observing, ""
	case r.hadOld && age.Seconds() < doubtPart*r.entry.Duration.Seconds() && r.exam().isInDoubt(total):
		return Observing, ""
	case n.Answers >= minNewAnswers, age.Seconds() >= latePart*r.entry.Duration.Seconds(), float64(old.Answers)*r.schedule.observed < minNewAnswers:
		return Quarter, ""
	default:
		return Observing, ""
	}
}
