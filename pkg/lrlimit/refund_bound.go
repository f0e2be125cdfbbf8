package lrlimit

import "slices"

// maxMinima bounds the memory of a refundBound.
const maxMinima = 24

// A refundBound knows how much of a reservation can be given back. Tokens that come back count as if they had never
// been used, so they fit only as far as the pool had room for them at every moment since they were reported as used.
type refundBound struct {
	// minima hold, for rising marks, the smallest deficit of the pool since the mark. They rise with the mark.
	minima []minimum
}

type minimum struct {
	mark    uint64
	deficit float64
}

// observe notes the present deficit of the pool.
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

// subtract notes that tokens have been given back.
func (r *refundBound) subtract(tokens float64) {
	for n := range r.minima {
		r.minima[n].deficit = max(r.minima[n].deficit-tokens, 0)
	}
}

// reset forgets everything, so that nothing reported before can be given back.
func (r *refundBound) reset() { r.minima = nil }
