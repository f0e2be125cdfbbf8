package lrroute

import "testing"

func TestHomeHitRateRisesWithoutGossip(t *testing.T) {
	n := newTestNested(12)
	requireEqual(t, n.homeHitRate(), isolatedHomeHitRate, "home hit rate before any update")
	for range 100 {
		n.ApplyPlacementUpdates(testStart(), []PlacementUpdate{{Model: testModel, Engine: "engine-000", Incarnation: "0/1"}})
	}
	requireEqual(t, n.homeHitRate(), defaultHomeHitRate, "home hit rate while updates are received")
	for range 1000 {
		n.gossip.countPlacement()
	}
	requireEqual(t, n.homeHitRate(), isolatedHomeHitRate, "home hit rate after updates have ceased")
}
