package lrring

import (
	"context"
	"testing"
)

func TestRingKeepsOrderAndRefusesWhenFull(t *testing.T) {
	ring := New[int](3)
	for n := range 5 {
		accepted := ring.Push(n)
		if accepted != (n < 3) {
			t.Fatalf("push %d: accepted %t", n, accepted)
		}
	}
	if ring.Refused() != 2 || ring.Len() != 3 {
		t.Fatalf("refused %d, length %d", ring.Refused(), ring.Len())
	}
	for want := range 3 {
		got, err := ring.Pop(context.Background())
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
