package lrrollout

import (
	"math"
	"time"
)

const (
	// crowdedWait is the mean wait at the engines from which an engine that is out of service makes callers elsewhere wait.
	crowdedWait = 60 * time.Millisecond
	// deadlineShare is the share of the deadline within which a paced rollout plans to be done. The rest is left for orders that are lost
	// and for the successor of a holder that ends.
	deadlineShare = 0.7
	// lateDeadlineShare is the share of the deadline after which LateShare applies where a deadline is set.
	lateDeadlineShare = 0.47
	// loadTimeWeight is the weight of a new sample in a LoadTime.
	loadTimeWeight = 0.2
)

// WithDeadline returns the options with the time after which no request may begin on outdated weights. LateShare applies in proportion to
// it, because a deadline that allows for slow loads leaves more time before engines must be interrupted.
func (o Options) WithDeadline(deadline time.Duration) Options {
	if deadline <= 0 {
		return o
	}
	o.Deadline = deadline
	if o.LateAfter > 0 {
		o.LateAfter = max(o.LateAfter, time.Duration(lateDeadlineShare*float64(deadline)))
	}
	return o
}

// atOnce returns how many of the engines may be updated at the same time. While callers wait at the engines, it is the number that
// finishes the outdated engines within the deadline: every engine beyond it would be missing while there is not enough of them.
func (o Options) atOnce(total, outdated int, oldest time.Duration, mean Conditions) int {
	most := max(o.MinAtOnce, int(o.share(oldest)*float64(total)))
	left := time.Duration(deadlineShare*float64(o.Deadline)) - oldest
	if o.Deadline <= 0 || mean.Wait < crowdedWait || mean.UpdateTime <= 0 || left <= mean.UpdateTime {
		return most
	}
	needed := int(math.Ceil(float64(outdated) * float64(mean.UpdateTime) / float64(left)))
	return min(most, max(needed, o.MinAtOnce))
}

// Conditions are what the holder observes while engines are updated.
type Conditions struct {
	// UpdateTime is how long the update of one engine takes. Zero means that it is not known.
	UpdateTime time.Duration
	// Wait is the mean expected wait of requests at the engines.
	Wait time.Duration
}

// A LoadTime is the learned time that engines take to load weights. The zero LoadTime knows none.
type LoadTime struct{ mean time.Duration }

// WithSample returns the LoadTime after one more load.
func (l LoadTime) WithSample(took time.Duration) LoadTime {
	if l.mean == 0 {
		return LoadTime{mean: took}
	}
	l.mean += time.Duration(loadTimeWeight * float64(took-l.mean))
	return l
}

// Mean returns the learned time, or the given one where none is known.
func (l LoadTime) Mean(unknown time.Duration) time.Duration {
	if l.mean == 0 {
		return unknown
	}
	return l.mean
}
