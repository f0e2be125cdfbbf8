package lrbalance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFirstEnginesAreTheSameInEveryFleet guards against instances of a large fleet, which sort only the first engines, that disagree with
// those that sort all on the home of a prompt or on the rank of the chosen engine.
func TestFirstEnginesAreTheSameInEveryFleet(t *testing.T) {
	now, engines := time.Unix(1000, 0), newTestEngines(60)
	for n := range 50 {
		order := func(instances int, isCached bool) []candidate {
			request := newTestRequest(fmt.Sprint("file", n), "x")
			request.Instances = instances
			p, candidates := newTestBalancer(1).newPlacement(now, request, engines)
			p.isCached = isCached
			return p.ranked(candidates)
		}
		for _, isCached := range []bool{false, true} {
			few, many := order(8, isCached), order(420, isCached)
			for rank := range firstCompared {
				requireEqual(t, many[rank].engine.ID, few[rank].engine.ID)
			}
			for rank, c := range few {
				requireEqual(t, rankOf(c.engine.ID, many), rank)
			}
			slices.SortFunc(many, func(a, b candidate) int { return rankOf(a.engine.ID, few) - rankOf(b.engine.ID, few) })
			for rank := range few {
				requireEqual(t, many[rank].engine.ID, few[rank].engine.ID)
			}
		}
	}
}
