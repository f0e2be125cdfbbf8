package lrstub

import (
	"context"
	"testing"
)

func TestPrefillQueueServesByPriority(t *testing.T) {
	queue := &prefillQueue{}
	ctx := context.Background()
	if !queue.acquire(ctx, 0, 10) {
		t.Fatal("an idle queue refused")
	}
	order := make(chan int, 3)
	for _, priority := range []int{1, 3, 2} {
		before := len(waitingOf(queue))
		go func() {
			if queue.acquire(ctx, priority, 10) {
				order <- priority
				queue.release(10)
			}
		}()
		for len(waitingOf(queue)) == before {
		}
	}
	queue.release(10)
	for _, want := range []int{3, 2, 1} {
		got := <-order
		if got != want {
			t.Fatalf("got priority %d, want %d", got, want)
		}
	}
}

func TestCanceledPrefillLeavesNoPendingTokens(t *testing.T) {
	queue := &prefillQueue{}
	_ = queue.acquire(context.Background(), 0, 10)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if queue.acquire(ctx, 0, 5) {
		t.Fatal("a canceled request acquired the slot")
	}
	queue.release(10)
	if queue.queuedTokens() != 0 || queue.busy {
		t.Fatalf("queued %d, busy %t", queue.queuedTokens(), queue.busy)
	}
}

func waitingOf(q *prefillQueue) []*prefillWaiter {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting
}
