package lrroute

import (
	"math"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// maxLevels limits the levels of a request. Further blocks belong to the last level.
	maxLevels = 8
	// evidenceRequests and, for each engine, evidenceRequestsPerEngine are added to the requests of the model when the share of a prefix
	// is computed. They keep the share small until enough requests have been seen.
	evidenceRequests          = 20
	evidenceRequestsPerEngine = 0.2
	// sizeHysteresis is how far, beyond rounding, the desired subset size must differ from the current one before that changes.
	sizeHysteresis = 0.35
)

// level is a run of blocks that have always been seen together.
type level struct {
	first lrprefix.ID
	// subsetSize is the number of engines over which the requests of the level are spread.
	subsetSize int
}

// observe counts the request for every block of its chain and divides the chain into levels: a level ends at a block after which
// different blocks have been seen.
func (n *NestedPlacer) observe(m *modelState, now uint32, request Request) {
	s := &n.scratch
	s.levels, s.chain = s.levels[:0], s.chain[:0]
	m.rate = m.rate*n.blocks.decay(m.usedAt, now) + float64(request.Tokens)/n.options.rateWindow.Seconds()
	m.usedAt = max(m.usedAt, now)
	contiguous := true
	s.known = 0
	var previous *block
	for k, id := range request.Chain {
		b, found := n.blocks.findOrInsert(id, now)
		contiguous = contiguous && found && b.served && b.usedWithin(now, n.options.recentWindow)
		if contiguous {
			s.known = k + 1
		}
		n.blocks.recordUse(b, now, request.Tokens)
		n.resize(m, b, request.Tokens)
		n.extendLevels(previous, b, id)
		s.chain = append(s.chain, b)
		previous = b
	}
}

// extendLevels adds the block to the last level, or begins a new level after a block that branches.
func (n *NestedPlacer) extendLevels(previous, b *block, id lrprefix.ID) {
	s := &n.scratch
	if previous != nil {
		previous.recordNext(id)
	}
	begins := previous == nil || previous.branches && len(s.levels) < maxLevels
	if begins {
		s.levels = append(s.levels, level{first: id})
	}
	s.levels[len(s.levels)-1].subsetSize = int(max(1, b.subsetSize))
}

// resize sets the subset size of the block in proportion to its share of the load. Hysteresis keeps it from following small changes.
func (n *NestedPlacer) resize(m *modelState, b *block, tokens int) {
	requestRate := float64(tokens) / n.options.rateWindow.Seconds()
	requests := float64(b.rate) / requestRate
	engines := float64(len(m.indexes))
	desired := requests / (m.rate/requestRate + evidenceRequests + evidenceRequestsPerEngine*engines) * engines * n.options.spreadFactor
	if b.subsetSize == 0 || math.Abs(desired-float64(b.subsetSize)) > 0.5+sizeHysteresis {
		b.subsetSize = uint16(min(max(1, math.Round(desired)), engines))
	}
}
