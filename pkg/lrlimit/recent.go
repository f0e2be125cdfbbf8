package lrlimit

import "time"

const (
	// spanLength is the resolution of a recentUse, and recentSpans the number of spans that it covers.
	spanLength  = 100 * time.Millisecond
	recentSpans = 20
)

// A span sums up what concerned one account on one instance within spanLength.
type span struct {
	// used was admitted here, and heard used by others, as far as their reports arrived within the span.
	used  float64
	heard float64
	// offered was asked for here, admitted or not. squares is the sum of the squares of the sizes of these requests.
	offered float64
	squares float64
	// evidence is offered with each request counted up to the mean size, so that a single large one shows no surge.
	evidence float64
	// paid was charged to the instance's part of the account.
	paid float64
}

func (s *span) add(o span) {
	s.used += o.used
	s.heard += o.heard
	s.offered += o.offered
	s.squares += o.squares
	s.evidence += o.evidence
	s.paid += o.paid
}

// recentUse is a ring of spans up to the present one.
type recentUse struct {
	spans  [recentSpans]span
	number int64
	began  time.Time
}

// add adds to the present span.
func (r *recentUse) add(now time.Time, o span) {
	r.advance(now)
	r.spans[r.number%recentSpans].add(o)
}

// within sums up the spans that began within the last duration.
func (r *recentUse) within(now time.Time, duration time.Duration) span {
	return r.between(now, duration, 0)
}

// between sums up the spans that began in the time from the first until the second duration before now.
func (r *recentUse) between(now time.Time, from, until time.Duration) span {
	r.advance(now)
	var sum span
	first := max(r.number-min(int64(from/spanLength), recentSpans)+1, 0)
	for n := first; n <= r.number-int64(until/spanLength); n++ {
		sum.add(r.spans[n%recentSpans])
	}
	return sum
}

// rate returns what was asked for in the time from the first until the second duration before now.
func (r *recentUse) rate(now time.Time, from, until time.Duration) Demand {
	sum := r.between(now, from, until)
	covered := from - until
	if until == 0 {
		covered += now.Sub(r.began)%spanLength - spanLength
	}
	return Demand{Rate: sum.offered / covered.Seconds(), Squares: sum.squares / covered.Seconds()}
}

// levelAfter returns the level of a bucket that was full at the beginning of the ring, after what others have used since.
func (r *recentUse) levelAfter(now time.Time, rate, burst float64) float64 {
	r.advance(now)
	level := burst
	for n := max(r.number-recentSpans+1, 0); n <= r.number; n++ {
		level = min(level-r.spans[n%recentSpans].heard+rate*spanLength.Seconds(), burst)
	}
	return level
}

// advance clears the spans that have left the ring.
func (r *recentUse) advance(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	number := int64(now.Sub(r.began) / spanLength)
	for n := max(r.number+1, number-recentSpans+1); n <= number; n++ {
		r.spans[n%recentSpans] = span{}
	}
	r.number = max(r.number, number)
}
