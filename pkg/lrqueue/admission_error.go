package lrqueue

import (
	"time"
)

const (
	// errorWindow is the time constant with which past errors of the estimate lose weight.
	errorWindow = 1500 * time.Millisecond
	// errorPrior is the number of estimates that are assumed, with the error of the shorter estimates, so that few errors have little weight.
	errorPrior = 2
	// maxErrorShare bounds the error of one estimate to this share of the target, and maxErrorCut is the largest part of an estimate that is
	// subtracted.
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
	ranges [errorRanges]struct{ samples, estimated, observed decayed }
}

// observe adds the error of one estimate.
func (e *estimateError) observe(now time.Time, estimated, observed, target time.Duration) {
	r := &e.ranges[errorRange(estimated, target)]
	longest := estimated + time.Duration(maxErrorShare*float64(target))
	r.samples.add(now, errorWindow, 1)
	r.estimated.add(now, errorWindow, estimated.Seconds())
	r.observed.add(now, errorWindow, min(observed, longest).Seconds())
}

// corrected returns the estimate without its learned error. An estimate that is too short lacks requests that other instances have sent since
// their reports, whose time is added. One that is too long counts requests that are served later, which are a part of it. What is known of
// shorter estimates applies to a range without samples, as requests with long estimates are refused.
func (e *estimateError) corrected(now time.Time, estimated, target time.Duration) time.Duration {
	own, corrected := estimated.Seconds(), estimated.Seconds()
	for n := range errorRange(estimated, target) + 1 {
		r := &e.ranges[n]
		count := r.samples.value(now, errorWindow) + errorPrior
		sum := r.estimated.value(now, errorWindow) + errorPrior*own
		observed := r.observed.value(now, errorWindow) + errorPrior*corrected
		if observed < sum {
			corrected = own * observed / sum
		} else {
			corrected = own + (observed-sum)/count
		}
	}
	return time.Duration(max(corrected, (1-maxErrorCut)*own) * float64(time.Second))
}
