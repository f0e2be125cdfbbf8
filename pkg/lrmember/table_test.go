package lrmember

import (
	"testing"
	"time"
)

func newTestTable(name string) *Table {
	self := Member{Name: name, PeerAddress: name, Incarnation: 1, Heartbeat: 1}
	return NewTable(self, Options{SuspectTimeout: time.Second, DeadRetention: time.Minute, SyncInterval: time.Second})
}

// introduce adds the member to the table and empties the queue of updates.
func introduce(table *Table, m Member) {
	table.HandleRequest(time.Unix(0, 0), Message{Sender: m, Digest: table.digest()})
	for table.HasUpdates() {
		table.gossip.Take(maxRecords, 1)
	}
}

func stateOf(table *Table, name string) (State, bool) {
	e, ok := table.entries[name]
	return e.member.State, ok
}

func TestDigestFindsWhatGossipMissed(t *testing.T) {
	a, b := newTestTable("a"), newTestTable("b")
	introduce(a, b.Self())
	introduce(b, a.Self())
	introduce(a, Member{Name: "c", PeerAddress: "c", Incarnation: 1, Heartbeat: 1})
	b.ApplyReply(time.Unix(9, 0), a.HandleRequest(time.Unix(9, 0), b.Request("a")))
	_, ok := stateOf(b, "c")
	if !ok {
		t.Fatal("b does not know of c")
	}
}

func TestResumeRestartsSuspectTimeout(t *testing.T) {
	a := newTestTable("a")
	introduce(a, newTestTable("b").Self())
	a.ProbeFailed(time.Unix(1, 0), "b", 1)
	resumed := time.Unix(100, 0)
	a.Resume(resumed)
	a.Expire(resumed)
	state, _ := stateOf(a, "b")
	if state != Suspect {
		t.Fatalf("state after the pause: %d, want suspect", state)
	}
	a.Expire(resumed.Add(2 * time.Second))
	state, _ = stateOf(a, "b")
	if state != Dead {
		t.Fatalf("state after the timeout: %d, want dead", state)
	}
}

func TestLateUpdateOfEarlierIncarnationIsIgnored(t *testing.T) {
	a := newTestTable("a")
	introduce(a, Member{Name: "b", PeerAddress: "b", Incarnation: 7, Heartbeat: 1})
	a.HandleRequest(time.Unix(1, 0), Message{Sender: Member{Name: "b", PeerAddress: "b", Incarnation: 6, Heartbeat: 90, Leaving: true}})
	got := a.entries["b"].member
	if got.Incarnation != 7 || got.Leaving {
		t.Fatalf("member after the late update: %+v", got)
	}
}
