package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	maxCandidates   = 12
	homeMembers     = 3
	subsetProbes    = 2
	distinctMembers = 64
	walkFactor      = 8
)

// candidate is an engine that is compared with a few others.
type candidate struct {
	engine uint16
	reason string
	// remembered is the number of leading pieces that the engine once held, and age what it has stored since then.
	remembered int
	age        uint32
	// held is the number of leading pieces that the engine is believed to hold still.
	held int
	// assumed is the number of leading pieces that the engine holds if the instances agree.
	assumed int
	home    bool
	cost    time.Duration
}

// scratch is the working room of one decision.
type scratch struct {
	chain      []*piece
	levels     []level
	order      []uint16
	walked     uint64
	candidates []candidate
	// known is the number of leading pieces that an engine is known to have served lately.
	known int
}

// gather collects the candidates for the request.
func (n *Nested) gather(now time.Time, m *modelState, request Request) {
	s := &n.scratch
	s.candidates, s.order, s.walked = s.candidates[:0], s.order[:0], 0
	if len(request.Chain) > 0 {
		n.gatherMembers(m, request)
		n.gatherHolders(request)
	}
	n.gatherIdle(now, m, request)
	if len(s.candidates) == 0 {
		n.gatherAny(m, request)
	}
}

// gatherMembers adds the engines that hashing chooses.
func (n *Nested) gatherMembers(m *modelState, request Request) {
	s := &n.scratch
	last := len(s.levels) - 1
	shared := n.sharedPieces()
	for member := range homeMembers {
		engine := n.member(m, last, member)
		c := candidate{engine: engine, reason: "prefix", assumed: min(shared, s.known)}
		c.home = member == 0
		if member < s.levels[last].size {
			c.assumed = s.known
		}
		n.add(request, c)
	}
	size := s.levels[0].size
	for range subsetProbes {
		engine := n.ranked(m, n.random.IntN(size))
		n.add(request, candidate{engine: engine, reason: "prefix subset", assumed: min(shared, s.known)})
	}
	if size < len(m.indexes) {
		n.add(request, candidate{engine: n.ranked(m, size), reason: "next of prefix subset"})
	}
}

// sharedPieces returns the number of pieces of the first level.
func (n *Nested) sharedPieces() int {
	s := &n.scratch
	for k, p := range s.chain {
		if p.branches {
			return k + 1
		}
	}
	return 0
}

// gatherHolders adds the engines that once held the deepest known pieces.
func (n *Nested) gatherHolders(request Request) {
	s := &n.scratch
	for k := len(s.chain) - 1; k >= 0; k-- {
		for _, h := range s.chain[k].holders {
			if !n.remembers(h) {
				continue
			}
			c := n.add(request, candidate{engine: h.engine, reason: "holder"})
			if c != nil {
				n.remember(c, h, k+1)
			}
		}
	}
}

// remember notes that the engine held the given number of leading pieces. Deeper ones come first.
func (n *Nested) remember(c *candidate, h holder, pieces int) {
	state := &n.engines[h.engine]
	age := state.stored - h.stored
	if c.remembered == 0 {
		c.remembered, c.age = pieces, age
	}
	if c.held == 0 && float64(age) < state.room {
		c.held = pieces
	}
}

// remembers reports whether the engine held the piece in its present incarnation.
func (n *Nested) remembers(h holder) bool {
	return h.confirmed > 0 && n.engines[h.engine].generation == h.generation
}

// gatherAny adds the first engines that can take the request, when no other candidate could.
func (n *Nested) gatherAny(m *modelState, request Request) {
	for _, index := range m.indexes {
		n.add(request, candidate{engine: index, reason: "only one left"})
	}
}

// add adds a candidate unless its engine cannot take the request. It returns the candidate of the engine.
func (n *Nested) add(request Request, c candidate) *candidate {
	s := &n.scratch
	for k := range s.candidates {
		if s.candidates[k].engine == c.engine {
			s.candidates[k].assumed = max(s.candidates[k].assumed, c.assumed)
			return &s.candidates[k]
		}
	}
	state := &n.engines[c.engine]
	if len(s.candidates) == maxCandidates || !state.usable || state.models == 0 {
		return nil
	}
	for _, name := range request.Excluded {
		if name == state.Name {
			return nil
		}
	}
	s.candidates = append(s.candidates, c)
	return &s.candidates[len(s.candidates)-1]
}

// member returns a member of the level's subset: an engine of the subset of the level before.
func (n *Nested) member(m *modelState, depth, member int) uint16 {
	s := &n.scratch
	for ; depth > 0; depth-- {
		member = jumpHash(memberKey(s.levels[depth].first, member), s.levels[depth-1].size)
	}
	return n.ranked(m, member)
}

// ranked returns the engine at the rank in the order of the first level.
func (n *Nested) ranked(m *modelState, rank int) uint16 {
	s := &n.scratch
	first := s.levels[0].first
	if rank >= distinctMembers {
		return m.indexes[m.table.at(memberKey(first, rank))]
	}
	for len(s.order) <= rank {
		s.order = append(s.order, n.nextDistinct(m, first))
	}
	return s.order[rank]
}

// nextDistinct walks the slots of the piece to an engine that has no rank yet.
func (n *Nested) nextDistinct(m *modelState, first lrprefix.ID) uint16 {
	s := &n.scratch
	for range walkFactor * len(m.indexes) {
		position := m.table.at(memberKey(first, int(s.walked)))
		s.walked++
		if !s.ranks(m.indexes[position]) {
			return m.indexes[position]
		}
	}
	for _, index := range m.indexes {
		if !s.ranks(index) {
			return index
		}
	}
	return m.indexes[0]
}

func (s *scratch) ranks(index uint16) bool {
	for _, o := range s.order {
		if o == index {
			return true
		}
	}
	return false
}
