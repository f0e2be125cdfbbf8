package lrquarantine

import "time"

// minDelay is the shortest wait of a delayed request.
const minDelay = 20 * time.Millisecond

// trialBackoff is the factor between the waits for two trials.
const trialBackoff = 4

// TrackerOptions set when a Tracker quarantines traits and tries them again.
type TrackerOptions struct {
	// Instance is the name of this instance.
	Instance string
	// OnDecision is called with each verdict that takes effect. It must not block.
	OnDecision func(verdict Verdict)
	// PartsOnly is set when whole requests are judged by other means, so that parts alone are suspects.
	PartsOnly bool
	// MinCrashes is the number of independent crashes, without a completed request since, after which a trait is quarantined.
	MinCrashes int
	// CrashWindow is the time within which requests that break off on one server count as one crash.
	CrashWindow time.Duration
	// MomentLength is the time within which crashes of several servers count as one.
	MomentLength time.Duration
	// SettleTime is how long the evidence against a part must hold, so that the news of other instances arrives.
	SettleTime time.Duration
	// MaxDelay is the longest wait of a request for a verdict.
	MaxDelay time.Duration
	// MinOthers is the number of requests that must be completed before an ambiguous part is quarantined. It keeps a failure of all servers
	// from being attributed to the parts of all requests.
	MinOthers uint64
	// LearningTime is how long after its start an instance takes all traits for ambiguous, since it has seen few completed requests.
	// Crashes of that age no longer count against other traits when a quarantine ends.
	LearningTime time.Duration
	// TrialInterval and AmbiguousTrialInterval are the shortest waits for the first trial of a quarantined trait. Each further one is
	// trialBackoff times as long, and after MaxTrials it is at least Retention.
	TrialInterval          time.Duration
	AmbiguousTrialInterval time.Duration
	MaxTrials              uint32
	// Retention is how long crashes are remembered, and verdicts after the last request with the trait.
	Retention time.Duration
	// GossipTime is how long news is passed on to other instances.
	GossipTime time.Duration
	// MaxCrashes, MaxRequests (for each crash), MaxSuspicions (traits of requests, over all crashes), MaxSuccesses (traits) and MaxVerdicts bound
	// the memory. A suspicion takes some 60 bytes, a success some 40.
	MaxCrashes    int
	MaxRequests   int
	MaxSuspicions int
	MaxSuccesses  int
	MaxVerdicts   int
}

// DefaultTrackerOptions returns the options for production use on the named instance.
func DefaultTrackerOptions(instance string) TrackerOptions {
	return TrackerOptions{
		Instance: instance, MinCrashes: 3, CrashWindow: 2 * time.Second, MomentLength: 50 * time.Millisecond, SettleTime: 400 * time.Millisecond, MaxDelay: time.Second,
		MinOthers:    3,
		LearningTime: 5 * time.Second, TrialInterval: 20 * time.Second, AmbiguousTrialInterval: time.Second, MaxTrials: 3,
		Retention: 10 * time.Minute, GossipTime: 1500 * time.Millisecond,
		MaxCrashes: 128, MaxRequests: 256, MaxSuspicions: 1 << 16, MaxSuccesses: 1 << 16, MaxVerdicts: 1024,
	}
}
