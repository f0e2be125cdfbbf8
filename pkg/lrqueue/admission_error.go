package lrqueue

import (
	"time"
)

const (
	// errorWindow is the time constant with which past errors of the estimate lose weight.
	errorWindow = 1500 * time.Millisecond
	// errorPrior is the number of exact estimates that are assumed, so that few errors have little weight.
	errorPrior = 2
	// maxErrorShare bounds the correction to this share of the target, and maxErrorCut is the largest part of an estimate that is subtracted.
	maxErrorShare = 1.5
	maxErrorCut   = 0.75
)

// The errors are kept apart by the estimated wait, since reports of other instances' load that are late make short estimates too short, and
// urgent requests wait less than long estimates say.
const (
	errorBelowHalf = iota
	errorBelowTarget
	errorAboveTarget
	errorRanges
)

// errorRange returns the range of the estimated wait.
func errorRange(wait, target time.Duration) int {
	switch {
	case 2*wait < target:
		return errorBelowHalf
	case wait < target:
		return errorBelowTarget
	default:
		return errorAboveTarget
	}
}

// estimateError is the learned error of the estimated waits of one route. It loses weight with time.
type estimateError struct {
	ranges [errorRanges]struct{ samples, seconds decayed }
}

// observe adds the error of one estimate.
func (e *estimateError) observe(now time.Time, estimated, observed, target time.Duration) {
	r := &e.ranges[errorRange(estimated, target)]
	longest := time.Duration(maxErrorShare * float64(target))
	r.samples.add(now, errorWindow, 1)
	r.seconds.add(now, errorWindow, min(observed-estimated, longest).Seconds())
}

// corrected returns the estimate without its learned error.
func (e *estimateError) corrected(now time.Time, estimated, target time.Duration) time.Duration {
	r := &e.ranges[errorRange(estimated, target)]
	mean := r.seconds.value(now, errorWindow) / (r.samples.value(now, errorWindow) + errorPrior)
	correction := time.Duration(mean * float64(time.Second))
	return max(estimated+correction, time.Duration((1-maxErrorCut)*float64(estimated)))
}
