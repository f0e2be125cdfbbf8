package lrroute

import "testing"

func TestUpdatesBeforeAnyEngineAreAccepted(t *testing.T) {
	n := NewNestedPlacer(WithSeed(1), WithPlacementUpdates())
	n.ApplyPlacementUpdates(testStart(), nil)
	_, ok := n.Place(testStart(), testRequest("1", testChain("parish-office", 0, 2, 1)))
	requireEqual(t, ok, false, "placed without an engine")
}
