package lrrollout

import "time"

const (
	// crowdedWait is the mean wait at the engines from which the engines that load weights make callers elsewhere wait.
	crowdedWait = 150 * time.Millisecond
	// holdShare is the share of the deadline for which a rollout is put off while callers wait. The rest is enough for the rollout itself
	// and for the successor of a holder that ends.
	holdShare = 0.5
)

// Conditions are what the holder observes before it begins a rollout.
type Conditions struct {
	// Wait is the mean expected wait of requests at the engines.
	Wait time.Duration
}

// isHeld reports whether a rollout that has not begun is put off: callers wait, and the deadline leaves time. Each rollout takes a third of
// the engines out of use and leaves all of them with empty caches, and one that is put off may take several versions at once.
func (o Options) isHeld(conditions Conditions, oldest time.Duration, hasBegun bool) bool {
	return !hasBegun && conditions.Wait >= crowdedWait && oldest < time.Duration(holdShare*float64(o.Deadline))
}
