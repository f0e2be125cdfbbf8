package lrlimit

import "slices"

// maxMinima bounds the memory of a refundBound.
const maxMinima = 24

// A refundBound limits how many tokens of a reservation can be refunded. Refunded tokens count as if they had never been
// used. So they are limited to the smallest deficit of the pool, the tokens by which it was below its capacity, since the
// tokens were reported as used: with more, the pool would have overflowed.
type refundBound struct {
	// minima hold, by ascending mark, the smallest deficit of the pool since that mark. The deficits ascend with the marks.
	minima []minimum
}

// minimum is the smallest deficit, in tokens, since the exchange with the mark.
type minimum struct {
	mark    uint64
	deficit float64
}

// observe records the present deficit of the pool.
func (r *refundBound) observe(deficit float64) {
	for n := len(r.minima) - 1; n >= 0 && r.minima[n].deficit > deficit; n-- {
		r.minima[n].deficit = deficit
	}
	r.minima = slices.CompactFunc(r.minima, func(a, b minimum) bool { return a.deficit == b.deficit })
}

// start begins a period at the mark, which must be above all earlier ones.
func (r *refundBound) start(mark uint64, deficit float64) {
	r.observe(deficit)
	r.minima = append(r.minima, minimum{mark: mark, deficit: deficit})
	if len(r.minima) > maxMinima {
		r.minima = slices.Delete(r.minima, maxMinima/2, maxMinima/2+1)
	}
}

// since returns a lower bound of the deficit over the whole time since the mark.
func (r *refundBound) since(mark uint64) float64 {
	for _, m := range slices.Backward(r.minima) {
		if m.mark <= mark {
			return m.deficit
		}
	}
	return 0
}

// subtract records that tokens were refunded.
func (r *refundBound) subtract(tokens float64) {
	for n := range r.minima {
		r.minima[n].deficit = max(r.minima[n].deficit-tokens, 0)
	}
}

// reset discards all periods, so that nothing reported before can be refunded.
func (r *refundBound) reset() { r.minima = nil }
