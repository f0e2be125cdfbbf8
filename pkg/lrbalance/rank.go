package lrbalance

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

// candidate is an engine with its cache estimate for the prompt and its hash score for the shared blocks.
type candidate struct {
	engine Engine
	// blocks are the leading shared blocks under the engine's weights.
	blocks []prefixBlock
	// cached is the number of tokens that the engine is assumed to hold or to be computing, ready the number that other
	// engines may fetch from it.
	cached int
	ready  int
	// isPreferred is drawn with the Preference of the engine.
	isPreferred bool
	// zoneRank is 1 for an engine of another availability zone that sorts after those of the own zone, otherwise 0.
	zoneRank int
	// score is the hash of the shared blocks and the engine.
	score uint64
}

// rankKey is the position of a candidate in the order, and its index.
type rankKey struct {
	zoneRank int
	score    uint64
	index    int
}

// usable leaves out the engines that failed the request, those that want none now, and those whose weights have been outdated for the limit.
// Engines that are about to be interrupted are returned only if there are no others, and engines whose memory the request exceeds only if
// there are none of these either.
func usable(request Request, candidates []candidate, outdatedLimit time.Duration) []candidate {
	if request.leavesOutNone(candidates, outdatedLimit) {
		return candidates
	}
	usable := make([]candidate, 0, len(candidates))
	var closing, small []candidate
	for _, c := range candidates {
		switch {
		case request.Excluded[c.engine.ID] || c.engine.IsHeldBack:
		case c.engine.OutdatedFor >= outdatedLimit:
		case request.isTooLarge(&c.engine):
			small = append(small, c)
		case c.engine.IsDraining:
			closing = append(closing, c)
		default:
			usable = append(usable, c)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(closing) > 0:
		return closing
	default:
		return small
	}
}

// leavesOutNone reports whether all engines are usable.
func (r *Request) leavesOutNone(candidates []candidate, outdatedLimit time.Duration) bool {
	for n := range candidates {
		e := &candidates[n].engine
		if r.Excluded[e.ID] || e.IsHeldBack || e.OutdatedFor >= outdatedLimit || e.IsDraining || r.isTooLarge(e) {
			return false
		}
	}
	return true
}

// ranked sorts the candidates by the hash of the shared blocks. Where an engine is known to hold the blocks,
// engines of the own availability zone come first: all instances of a zone start with the same engine, which fetches the
// blocks once. Blocks that no engine is known to hold have one home for all zones, so that instances that have not yet
// exchanged updates do not compute them once in each zone. Where not all candidates are compared, only the first ones are
// sorted. Candidates of requests without shared blocks keep their order.
func (p placement) ranked(candidates []candidate) []candidate {
	if p.home == "" {
		return candidates
	}
	for n := range candidates {
		c := &candidates[n]
		c.score = lrhash.RendezvousScore(p.home, c.engine.ID)
		if p.isCached && c.engine.Zone != p.balancer.options.Zone {
			c.zoneRank = 1
		}
	}
	if p.comparesAll(len(candidates)) {
		return sorted(candidates)
	}
	for n := range firstCompared {
		first := n
		for k := n + 1; k < len(candidates); k++ {
			if candidates[k].precedes(&candidates[first]) {
				first = k
			}
		}
		candidates[n], candidates[first] = candidates[first], candidates[n]
	}
	return candidates
}

// precedes reports whether the candidate stands before the other one.
func (c *candidate) precedes(other *candidate) bool {
	if c.zoneRank != other.zoneRank {
		return c.zoneRank < other.zoneRank
	}
	return c.score > other.score
}

// sorted returns the candidates in their order. Keys are sorted in place of the candidates, which are large.
func sorted(candidates []candidate) []candidate {
	keys := make([]rankKey, len(candidates))
	for n := range candidates {
		keys[n] = rankKey{zoneRank: candidates[n].zoneRank, score: candidates[n].score, index: n}
	}
	slices.SortFunc(keys, func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.zoneRank, b.zoneRank), cmp.Compare(b.score, a.score))
	})
	ordered := make([]candidate, len(candidates))
	for n, k := range keys {
		ordered[n] = candidates[k.index]
	}
	return ordered
}

// rankOf returns the position of the engine in the order of the candidates.
func rankOf(engine string, candidates []candidate) int {
	n := slices.IndexFunc(candidates, func(c candidate) bool { return c.engine.ID == engine })
	rank := 0
	for k := range candidates {
		if candidates[k].precedes(&candidates[n]) {
			rank++
		}
	}
	return rank
}

// sharedBlocks returns the blocks of the prompt that other requests may share: all but the last.
func sharedBlocks(request Request) []Block { return request.Blocks[:max(len(request.Blocks)-1, 0)] }

// homeKey returns the key by which the shared blocks are hashed. It does not contain the version of the weights, so that
// an update keeps the home.
func homeKey(request Request) string {
	var key strings.Builder
	for _, p := range sharedBlocks(request) {
		key.WriteString(p.ID)
		key.WriteByte('/')
	}
	return key.String()
}
