package lrquarantine

import (
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

// ErrQuarantined means that servers crash on the request or on a part of its prompt.
var ErrQuarantined = errs.Class("servers crash on the request or on a part of its prompt, change it")

// A Verdict is the decision on one trait. The instances exchange verdicts, and the one with the highest version holds.
type Verdict struct {
	Trait   Trait  `json:"trait"`
	Version uint32 `json:"version"`
	// IsQuarantined is set while requests with the trait are rejected.
	IsQuarantined bool `json:"isQuarantined"`
	// IsAmbiguous is set when another trait may be the cause, or when requests with the trait were completed before the crashes. The trait
	// is then tried sooner.
	IsAmbiguous bool `json:"isAmbiguous"`
	// Trials is the number of requests with the trait that were sent to a server to find out whether they still crash it.
	Trials uint32 `json:"trials"`
	// Crashes is the number of crashes that the trait may have caused.
	Crashes uint32 `json:"crashes"`
}

// Err returns the error of a request that is rejected because of the verdict.
func (v Verdict) Err() error {
	return ErrQuarantined.New("trait %s: %d crashes, %d trials, ambiguous %t", v.Trait, v.Crashes, v.Trials, v.IsAmbiguous)
}

// supersedes reports whether the verdict replaces the other one. Of two that were decided at the same time on different instances, the one
// that lifts the quarantine holds, since a completed request proves it.
func (v Verdict) supersedes(other Verdict) bool {
	switch {
	case v.Version != other.Version:
		return v.Version > other.Version
	case v.IsQuarantined != other.IsQuarantined:
		return !v.IsQuarantined
	default:
		return v.Trials > other.Trials
	}
}

// withVersionAfter returns the verdict with a version that supersedes the other one.
func (v Verdict) withVersionAfter(other Verdict) Verdict {
	v.Version = other.Version + 1
	return v
}

// heldVerdict is a verdict as this instance holds it.
type heldVerdict struct {
	Verdict
	// changedAt is the time of the last crash, trial or decision.
	changedAt time.Time
	// seenAt is when a request with the trait was last seen by any instance.
	seenAt time.Time
}

// trialAt returns when the next trial may begin. It differs between instances, so that they do not begin one at the same moment.
func (v heldVerdict) trialAt(options TrackerOptions) time.Time {
	wait := options.TrialInterval
	if v.IsAmbiguous {
		wait = options.AmbiguousTrialInterval
	}
	for range min(v.Trials, options.MaxTrials) {
		wait *= trialBackoff
	}
	if v.Trials >= options.MaxTrials {
		wait = max(wait, options.Retention)
	}
	return v.changedAt.Add(wait + time.Duration(float64(wait)*jitter(options.Instance, v.Trait, v.Trials)))
}

// update returns the verdict as other instances are told.
func (v heldVerdict) update(now time.Time) VerdictUpdate {
	return VerdictUpdate{Verdict: v.Verdict, Age: now.Sub(v.changedAt), SeenAge: now.Sub(v.seenAt)}
}

// jitter returns a number in [0, 1) that depends on the instance, the trait and the round.
func jitter(instance string, trait Trait, round uint32) float64 {
	const resolution = 1 << 16
	key := trait.String() + "/" + strconv.FormatUint(uint64(round), 10)
	return float64(lrhash.RendezvousScore(key, instance)%resolution) / resolution
}
