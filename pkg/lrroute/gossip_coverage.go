package lrroute

const (
	// gossipCountLimit is the number of own placements at which both counts are halved.
	gossipCountLimit = 64
	// isolatedHomeHitRate is the fraction of the unknown blocks that counts as cached by the home engine while this instance receives no
	// updates about the placements of most other instances.
	isolatedHomeHitRate = 0.3
)

// gossipCoverage compares the number of updates received about placements of other instances with the number of own placements. It shows
// whether the cache estimate includes what other instances place.
type gossipCoverage struct{ own, received int }

// countPlacement counts a placement of this instance. It halves both counts at the limit, so that older ones lose weight.
func (g *gossipCoverage) countPlacement() {
	g.own++
	if g.own == gossipCountLimit {
		g.own /= 2
		g.received /= 2
	}
}

// sufficient reports whether at least as many placements of other instances were received as this instance made.
func (g *gossipCoverage) sufficient() bool { return g.received > 0 && g.received >= g.own }

// homeHitRate returns the fraction of the unknown blocks that counts as cached by the home engine. An instance that receives few updates
// from the others must rely more on hashing.
func (n *NestedPlacer) homeHitRate() float64 {
	floor := isolatedHomeHitRate
	if n.gossip.sufficient() {
		floor = n.options.homeHitRate
	}
	return max(floor, n.observedHomeHitRate)
}
