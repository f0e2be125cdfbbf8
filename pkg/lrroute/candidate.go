package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// maxCandidates limits the number of engines that a decision compares.
	maxCandidates = 12
	// homeCandidates is the number of engines of the last level, beginning with the home engine, that become candidates.
	homeCandidates = 3
	// subsetProbes is the number of engines that are drawn at random from the subset of the first level.
	subsetProbes = 2
	// distinctRanks is the number of ranks that are guaranteed to go to different engines.
	distinctRanks = 64
	// slotProbesPerEngine limits, for each engine of the model, the slots that are probed for the engine of the next rank.
	slotProbesPerEngine = 8
)

// candidate is one of the engines that a decision compares. Its blocks are leading blocks of the request.
type candidate struct {
	engine uint16
	reason string
	// recorded is the number of blocks that the engine once held, and storedSince the number of blocks that it has stored since then.
	recorded    int
	storedSince uint32
	// estimated is the number of blocks that the engine is estimated to still have cached.
	estimated int
	// assumed is the number of blocks that the engine has cached if all instances place by the same hashing.
	assumed int
	// home is set for the home engine.
	home bool
	cost time.Duration
}

// scratch holds the buffers of one decision, which are reused by the next.
type scratch struct {
	chain  []*block
	levels []level
	// ranking lists engines by rank in the order of the first level, as far as it has been computed.
	ranking []uint16
	// slotProbes counts the slots that were probed for the ranking.
	slotProbes uint64
	candidates []candidate
	// known is the number of leading blocks that some engine is known to have recently served.
	known int
}

// gatherCandidates collects the candidates of the request.
func (n *NestedPlacer) gatherCandidates(now time.Time, m *modelState, request Request) {
	s := &n.scratch
	s.candidates, s.ranking, s.slotProbes = s.candidates[:0], s.ranking[:0], 0
	if len(request.Chain) > 0 {
		n.gatherMembers(m, request)
		n.gatherHolders(request)
	}
	n.gatherLeastBusy(now, m, request)
	if len(s.candidates) == 0 {
		n.gatherAny(m, request)
	}
}

// gatherMembers adds engines that hashing chooses, and the next engine after the subset of the first level.
func (n *NestedPlacer) gatherMembers(m *modelState, request Request) {
	s := &n.scratch
	last := len(s.levels) - 1
	shared := n.sharedBlocks()
	for member := range homeCandidates {
		engine := n.member(m, last, member)
		c := candidate{engine: engine, reason: "prefix", assumed: min(shared, s.known)}
		c.home = member == 0
		if member < s.levels[last].subsetSize {
			c.assumed = s.known
		}
		n.addCandidate(request, c)
	}
	size := s.levels[0].subsetSize
	for range subsetProbes {
		engine := n.ranked(m, n.random.IntN(size))
		n.addCandidate(request, candidate{engine: engine, reason: "prefix subset", assumed: min(shared, s.known)})
	}
	if size < len(m.indexes) {
		n.addCandidate(request, candidate{engine: n.ranked(m, size), reason: "next of prefix subset"})
	}
}

// sharedBlocks returns the number of blocks of the first level, or 0 when no block branches.
func (n *NestedPlacer) sharedBlocks() int {
	s := &n.scratch
	for k, b := range s.chain {
		if b.branches {
			return k + 1
		}
	}
	return 0
}

// gatherHolders adds the engines that are recorded as holders, beginning with the deepest block.
func (n *NestedPlacer) gatherHolders(request Request) {
	s := &n.scratch
	for k := len(s.chain) - 1; k >= 0; k-- {
		for _, h := range s.chain[k].holders {
			if !n.isCurrent(h) {
				continue
			}
			c := n.addCandidate(request, candidate{engine: h.engine, reason: "holder"})
			if c != nil {
				n.applyHolder(c, h, k+1)
			}
		}
	}
}

// applyHolder sets the recorded and estimated blocks of the candidate from a holder entry of its engine. Entries of deeper blocks must be
// applied first.
func (n *NestedPlacer) applyHolder(c *candidate, h holder, blocks int) {
	state := &n.engines[h.engine]
	storedSince := state.stored - h.stored
	if c.recorded == 0 {
		c.recorded, c.storedSince = blocks, storedSince
	}
	if c.estimated == 0 && float64(storedSince) < state.capacityBlocks {
		c.estimated = blocks
	}
}

// isCurrent reports whether the entry belongs to the current incarnation of its engine.
func (n *NestedPlacer) isCurrent(h holder) bool {
	return h.confirmed > 0 && n.engines[h.engine].generation == h.generation
}

// gatherAny adds the first engines that can take the request. It is used when there is no other candidate.
func (n *NestedPlacer) gatherAny(m *modelState, request Request) {
	for _, index := range m.indexes {
		n.addCandidate(request, candidate{engine: index, reason: "only one left"})
	}
}

// addCandidate adds a candidate unless its engine cannot take the request. It returns the candidate of the engine, which may have been
// added before, or nil.
func (n *NestedPlacer) addCandidate(request Request, c candidate) *candidate {
	s := &n.scratch
	for k := range s.candidates {
		if s.candidates[k].engine == c.engine {
			s.candidates[k].assumed = max(s.candidates[k].assumed, c.assumed)
			return &s.candidates[k]
		}
	}
	state := &n.engines[c.engine]
	if len(s.candidates) == maxCandidates || !state.usable || state.modelCount == 0 {
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

// member returns a member of the subset at the depth, which is drawn from the subset of the previous level.
func (n *NestedPlacer) member(m *modelState, depth, member int) uint16 {
	s := &n.scratch
	for ; depth > 0; depth-- {
		member = jumpHash(memberKey(s.levels[depth].first, member), s.levels[depth-1].subsetSize)
	}
	return n.ranked(m, member)
}

// ranked returns the engine at the rank in the order of the first level.
func (n *NestedPlacer) ranked(m *modelState, rank int) uint16 {
	s := &n.scratch
	first := s.levels[0].first
	if rank >= distinctRanks {
		return m.indexes[m.table.at(memberKey(first, rank))]
	}
	for len(s.ranking) <= rank {
		s.ranking = append(s.ranking, n.nextUnranked(m, first))
	}
	return s.ranking[rank]
}

// nextUnranked probes slots by the key of the first block until it finds an engine that has no rank yet.
func (n *NestedPlacer) nextUnranked(m *modelState, first lrprefix.ID) uint16 {
	s := &n.scratch
	for range slotProbesPerEngine * len(m.indexes) {
		position := m.table.at(memberKey(first, int(s.slotProbes)))
		s.slotProbes++
		if !s.isRanked(m.indexes[position]) {
			return m.indexes[position]
		}
	}
	for _, index := range m.indexes {
		if !s.isRanked(index) {
			return index
		}
	}
	return m.indexes[0]
}

// isRanked reports whether the engine has a rank.
func (s *scratch) isRanked(index uint16) bool {
	for _, o := range s.ranking {
		if o == index {
			return true
		}
	}
	return false
}
