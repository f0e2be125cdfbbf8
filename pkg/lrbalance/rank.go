package lrbalance

import (
	"cmp"
	"slices"
	"strings"

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

// usable leaves out the engines that failed the request, those that want none now, and those whose weights have been outdated for outdatedLimit.
// Engines that are about to be interrupted are returned only if there are no others, and engines whose memory the request exceeds only if
// there are none of these either.
func usable(request Request, candidates []candidate) []candidate {
	usable := make([]candidate, 0, len(candidates))
	var closing, small []candidate
	for _, c := range candidates {
		switch {
		case request.Excluded[c.engine.ID] || c.engine.IsHeldBack:
		case c.engine.OutdatedFor >= outdatedLimit:
		case request.isTooLarge(c.engine):
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

// ranked sorts the candidates in place by the hash of the shared blocks. Where an engine is known to hold the blocks,
// engines of the own availability zone come first: all instances of a zone start with the same engine, which fetches the
// blocks once. Blocks that no engine is known to hold have one home for all zones, so that instances that have not yet
// exchanged updates do not compute them once in each zone. Candidates of requests without shared blocks keep their
// order.
func (p placement) ranked(candidates []candidate) []candidate {
	if p.home == "" {
		return candidates
	}
	for n, c := range candidates {
		candidates[n].score = lrhash.RendezvousScore(p.home, c.engine.ID)
		if p.isCached && c.engine.Zone != p.balancer.options.Zone {
			candidates[n].zoneRank = 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.zoneRank, b.zoneRank), cmp.Compare(b.score, a.score))
	})
	return candidates
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
