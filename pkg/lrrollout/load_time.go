package lrrollout

import "time"

// loadTimeWeight is the weight of a new sample in a LoadTime.
const loadTimeWeight = 0.2

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
