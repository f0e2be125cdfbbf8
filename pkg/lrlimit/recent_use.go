package lrlimit

import "time"

// SilenceBound is how long an instance may be silent before the others count it as out of reach.
const SilenceBound = 900 * time.Millisecond

// recentSpans is the number of spans into which SilenceBound is divided.
const recentSpans = 9

// recentUse sums up what was charged within the last SilenceBound. It never changes.
type recentUse struct {
	// spans is a ring of charges, and number counts the spans from the beginning up to the present one.
	spans  [recentSpans]float64
	number int64
	began  time.Time
}

// withUse returns the sum with further tokens.
func (r recentUse) withUse(now time.Time, tokens float64) recentUse {
	r = r.withTime(now)
	r.spans[r.number%recentSpans] += tokens
	return r
}

// withTime returns the sum without what has become too old.
func (r recentUse) withTime(now time.Time) recentUse {
	if r.began.IsZero() {
		r.began = now
	}
	number := int64(now.Sub(r.began) / (SilenceBound / recentSpans))
	for n := max(r.number+1, number-recentSpans+1); n <= number; n++ {
		r.spans[n%recentSpans] = 0
	}
	r.number = max(r.number, number)
	return r
}

// within returns what was charged within the last SilenceBound.
func (r recentUse) within(now time.Time) float64 {
	sum := 0.0
	for _, tokens := range r.withTime(now).spans {
		sum += tokens
	}
	return max(sum, 0)
}
