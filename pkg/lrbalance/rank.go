package lrbalance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

// candidate is an engine with what it is believed to hold of the prompt, and its place by the hash of the shared parts.
type candidate struct {
	engine Engine
	// runs are the leading runs of shared parts under the engine's weights.
	runs []prefix
	// cached are the tokens that it holds or is computing, ready those that others may fetch.
	cached int
	ready  int
	isFar  int
	score  uint64
}

// usable leaves out engines that failed the request, that are about to stop and that are too old.
func usable(request Request, candidates []candidate) []candidate {
	usable := make([]candidate, 0, len(candidates))
	var closing []candidate
	for _, c := range candidates {
		switch {
		case request.Excluded[c.engine.ID]:
		case c.engine.OutdatedFor >= oldVersionEnd:
		case c.engine.IsClosing:
			closing = append(closing, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return closing
	}
	return usable
}

// ranked orders the candidates in place by the hash of the prompt's shared parts. Where an engine is known to hold them those of the own
// availability zone go first: all instances of a zone begin with the same one, which fetches the parts once. Parts that nobody is
// known to hold have one home over all zones, so that instances that have not heard of one another yet do not compute them in
// each zone. Candidates of requests without shared parts keep their order.
func (p placement) ranked(candidates []candidate) []candidate {
	if p.home == "" {
		return candidates
	}
	for n, c := range candidates {
		candidates[n].score = lrhash.Pair(p.home, c.engine.ID)
		if p.isKnown && c.engine.Zone != p.balancer.options.Zone {
			candidates[n].isFar = 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.isFar, b.isFar), cmp.Compare(b.score, a.score))
	})
	return candidates
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last.
func sharedParts(request Request) []Part { return request.Parts[:max(len(request.Parts)-1, 0)] }

// homeKey names the shared parts of the prompt. Weights versions are left out, so that the home stays the same.
func homeKey(request Request) string {
	var key strings.Builder
	for _, p := range sharedParts(request) {
		key.WriteString(p.ID)
		key.WriteByte('/')
	}
	return key.String()
}
