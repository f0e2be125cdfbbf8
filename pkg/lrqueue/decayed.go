package lrqueue

import (
	"math"
	"time"
)

// decayed is a sum of which each part decays exponentially from the time at which it was added.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum at the given time, for a decay with the time constant.
func (d decayed) value(now time.Time, constant time.Duration) float64 {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 || d.sum == 0 {
		return d.sum
	}
	return d.sum * math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// add adds the amount.
func (d *decayed) add(now time.Time, constant time.Duration, amount float64) {
	d.sum = d.value(now, constant) + amount
	d.at = maxTime(d.at, now)
}
