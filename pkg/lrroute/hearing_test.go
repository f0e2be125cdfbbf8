package lrroute

import "testing"

func TestHashingCountsMoreWhenOthersAreNotHeard(t *testing.T) {
	n := newTestNested(12)
	requireEqual(t, n.homeShare(), loneHomeShare, "share before any note")
	for range 100 {
		n.ApplyNotes(testStart(), []Note{{Model: testModel, Engine: "engine-000", Incarnation: "0/1"}})
	}
	requireEqual(t, n.homeShare(), defaultHomeShare, "share while others are heard")
	for range 1000 {
		n.hearing.placed()
	}
	requireEqual(t, n.homeShare(), loneHomeShare, "share after notes have ceased")
}
