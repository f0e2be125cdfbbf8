package lrroute

import "testing"

func TestUpdatesBeforeAnyEngineAreAccepted(t *testing.T) {
	n := NewNested(WithSeed(1), WithNotes())
	n.ApplyNotes(testStart(), nil)
	_, ok := n.Place(testStart(), testRequest("1", testChain("parish-office", 0, 2, 1)))
	requireEqual(t, ok, false, "placed without an engine")
}
