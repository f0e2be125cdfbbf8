package lrroute

import (
	"math"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	maxLevels = 8
	// evidenceRequests and, for each engine, evidencePerEngine are the numbers of requests that must be seen before
	// shares of the load count fully.
	evidenceRequests  = 20
	evidencePerEngine = 0.2
	// sizeSlack is how far the wanted size must leave the present one before it changes.
	sizeSlack = 0.35
)

// level is a run of pieces that are always seen together.
type level struct {
	first lrprefix.ID
	// size is the number of engines over which the requests of the level are spread.
	size int
}

// observe counts the request for every piece of its chain and finds its levels: a level ends at a piece after which
// different pieces were seen.
func (n *Nested) observe(m *modelState, now uint32, request Request) {
	s := &n.scratch
	s.levels, s.chain = s.levels[:0], s.chain[:0]
	m.rate = m.rate*n.pieces.decay(m.usedAt, now) + float64(request.Tokens)/n.options.window.Seconds()
	m.usedAt = max(m.usedAt, now)
	contiguous := true
	s.known = 0
	var previous *piece
	for k, id := range request.Chain {
		p, found := n.pieces.take(id, now)
		contiguous = contiguous && found && p.answered && p.recent(now, n.options.memory)
		if contiguous {
			s.known = k + 1
		}
		n.pieces.use(p, now, request.Tokens)
		n.resize(m, p, request.Tokens)
		n.extend(previous, p, id)
		s.chain = append(s.chain, p)
		previous = p
	}
}

// extend adds the piece to the last level, or begins a new one behind a piece that branches.
func (n *Nested) extend(previous, p *piece, id lrprefix.ID) {
	s := &n.scratch
	if previous != nil {
		previous.follow(id)
	}
	begins := previous == nil || previous.branches && len(s.levels) < maxLevels
	if begins {
		s.levels = append(s.levels, level{first: id})
	}
	s.levels[len(s.levels)-1].size = int(max(1, p.size))
}

// resize moves the size of the piece towards its share of the load. Hysteresis keeps it from following small changes.
func (n *Nested) resize(m *modelState, p *piece, tokens int) {
	perRequest := float64(tokens) / n.options.window.Seconds()
	seen := float64(p.rate) / perRequest
	engines := float64(len(m.indexes))
	wanted := seen / (m.rate/perRequest + evidenceRequests + evidencePerEngine*engines) * engines * n.options.spread
	if p.size == 0 || math.Abs(wanted-float64(p.size)) > 0.5+sizeSlack {
		p.size = uint16(min(max(1, math.Round(wanted)), engines))
	}
}
