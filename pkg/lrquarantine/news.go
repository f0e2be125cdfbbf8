package lrquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPartsSent is the most parts of requests in one message to another instance. A message is some 16 KB larger then.
	maxPartsSent = 2048
	// maxCompletionsSent is the most completed traits in one message.
	maxCompletionsSent = 1024
)

// recentRequests returns the requests of crashes that became known within the gossip time.
func (t *Tracker) recentRequests(now time.Time) []*inFlight {
	var recent []*inFlight
	for _, c := range t.evidence.crashes {
		if now.Sub(c.learnedAt) >= t.options.GossipTime {
			continue
		}
		for _, r := range c.requests {
			if now.Sub(r.learnedAt) < t.options.GossipTime {
				recent = append(recent, r)
			}
		}
	}
	return recent
}

// takeRequests returns the requests of crashes that this instance observed and that it has not returned before. Those that do not fit into one
// message wait for the next one.
func (t *Tracker) takeRequests() []*inFlight {
	var taken []*inFlight
	parts := 0
	for _, c := range t.evidence.crashes {
		for _, r := range c.requests {
			if !r.isOwn || r.isTaken {
				continue
			}
			parts += len(r.suspects)
			if parts > maxPartsSent && len(taken) > 0 {
				return taken
			}
			r.isTaken = true
			taken = append(taken, r)
		}
	}
	return taken
}

// crashUpdates returns what other instances shall know of the requests: the parts that may still have caused the crashes, up to maxPartsSent of
// them. Those that no completed request had go first, since they are the more likely causes.
func (t *Tracker) crashUpdates(now time.Time, requests []*inFlight) []CrashUpdate {
	updates := make([]CrashUpdate, 0, len(requests))
	for _, r := range requests {
		updates = append(updates, CrashUpdate{Server: r.crash.server, Request: Request{Whole: r.whole}, Age: now.Sub(r.at)})
	}
	left := maxPartsSent
	for _, isUnproven := range []bool{true, false} {
		for n, r := range requests {
			parts := t.suspectParts(r, isUnproven, left)
			left -= len(parts)
			updates[n].Request.Parts = append(updates[n].Request.Parts, parts...)
		}
	}
	return updates
}

// suspectParts returns up to limit parts of the request that may have caused its crash: those that no completed request had, or the others.
func (t *Tracker) suspectParts(r *inFlight, isUnproven bool, limit int) []Trait {
	var parts []Trait
	for _, trait := range r.suspects {
		if len(parts) >= limit {
			break
		}
		if trait != r.whole && t.successes.last(trait).IsZero() == isUnproven && t.evidence.isSuspect(r, trait) {
			parts = append(parts, trait)
		}
	}
	return parts
}

// completionUpdates returns the traits of which other instances shall know that a request with them was completed, up to maxCompletionsSent of
// them. Those that can change a verdict go first, and then the latest.
func (t *Tracker) completionUpdates(now time.Time) []CompletionUpdate {
	updates := make([]CompletionUpdate, 0, len(t.completions))
	for trait, c := range t.completions {
		updates = append(updates, CompletionUpdate{Trait: trait, Age: now.Sub(c.at)})
	}
	if len(updates) <= maxCompletionsSent {
		return updates
	}
	slices.SortFunc(updates, func(a, b CompletionUpdate) int {
		return cmp.Or(compareTrueFirst(t.matters(a.Trait), t.matters(b.Trait)), cmp.Compare(a.Age, b.Age))
	})
	return updates[:maxCompletionsSent]
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
