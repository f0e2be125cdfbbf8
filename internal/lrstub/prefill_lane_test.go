package lrstub

import (
	"context"
	"testing"
)

func TestPrefillLaneServesByPriority(t *testing.T) {
	lane := &prefillLane{}
	ctx := context.Background()
	if !lane.enter(ctx, 0, 10) {
		t.Fatal("an idle lane refused")
	}
	order := make(chan int, 3)
	for _, priority := range []int{1, 3, 2} {
		before := len(waitingOf(lane))
		go func() {
			if lane.enter(ctx, priority, 10) {
				order <- priority
				lane.leave(10)
			}
		}()
		for len(waitingOf(lane)) == before {
		}
	}
	lane.leave(10)
	for _, want := range []int{3, 2, 1} {
		got := <-order
		if got != want {
			t.Fatalf("got priority %d, want %d", got, want)
		}
	}
}

func TestAbandonedPrefillLeavesNoWorkBehind(t *testing.T) {
	lane := &prefillLane{}
	_ = lane.enter(context.Background(), 0, 10)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if lane.enter(ctx, 0, 5) {
		t.Fatal("a cancelled request entered")
	}
	lane.leave(10)
	if lane.queuedTokens() != 0 || lane.busy {
		t.Fatalf("queued %d, busy %t", lane.queuedTokens(), lane.busy)
	}
}

func waitingOf(l *prefillLane) []*prefillWaiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.waiting
}
