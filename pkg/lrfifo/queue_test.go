package lrfifo

import (
	"context"
	"testing"
)

func TestQueueKeepsOrderAndRejectsWhenFull(t *testing.T) {
	queue := New[int](3)
	for n := range 5 {
		accepted := queue.Push(n)
		if accepted != (n < 3) {
			t.Fatalf("push %d: accepted %t", n, accepted)
		}
	}
	if queue.Rejected() != 2 || queue.Len() != 3 {
		t.Fatalf("refused %d, length %d", queue.Rejected(), queue.Len())
	}
	for want := range 3 {
		got, err := queue.Pop(context.Background())
		if err != nil || got != want {
			t.Fatalf("pop: got %d, %v, want %d", got, err, want)
		}
	}
}

func TestPopEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New[int](1).Pop(ctx)
	if err == nil {
		t.Fatal("pop returned without an item and without an error")
	}
}
