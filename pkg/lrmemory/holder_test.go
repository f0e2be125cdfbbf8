package lrmemory

import (
	"testing"
	"time"
)

const testAllotment = 100

// newTestHolder returns a holder with the number of bytes and a counter of its evictions.
func newTestHolder(t *testing.T, budget *Budget, address string, bytes int) (h *Holder, evictions *int) {
	t.Helper()
	evictions = new(int)
	h = budget.NewHolder(address, testAllotment, func() { *evictions++ })
	requireTrue(t, h.Take(bytes), "%d bytes were not taken", bytes)
	return h, evictions
}

// A request of ordinary size must find memory while others use the whole budget.
func TestAllotmentIsFree(t *testing.T) {
	budget := NewBudget(1000)
	_, evictions := newTestHolder(t, budget, "a", 1100)
	ordinary, _ := newTestHolder(t, budget, "b", testAllotment)
	requireTrue(t, budget.Available() == 0 && *evictions == 0, "%d bytes are left, %d evictions", budget.Available(), *evictions)
	ordinary.Close()
	requireTrue(t, budget.Available() == 0, "closing an ordinary holder released %d bytes", budget.Available())
}

// The heaviest holder must give way to a much lighter one, and not to one of like size, since the two would replace each other without end.
func TestHeaviestHolderIsEvicted(t *testing.T) {
	budget := NewBudget(1000)
	heavy, heavyEvictions := newTestHolder(t, budget, "a", 900)
	_, lightEvictions := newTestHolder(t, budget, "a", 300)
	requireTrue(t, !budget.NewHolder("a", testAllotment, func() {}).Take(600), "a holder of like size got the bytes")
	taken := make(chan bool)
	go func() {
		taken <- budget.NewHolder("a", testAllotment, func() { t.Error("the new holder is evicted") }).Take(300)
	}()
	for !heavy.IsEvicted() {
		time.Sleep(time.Millisecond)
	}
	heavy.Close()
	requireTrue(t, <-taken, "the bytes of the evicted holder were not taken")
	requireTrue(t, *heavyEvictions == 1 && *lightEvictions == 0, "evictions: %d of the heavy, %d of the light holder", *heavyEvictions, *lightEvictions)
}

// A client that spreads its requests over many connections must be met before one with a single larger request.
func TestHeaviestAddressIsEvicted(t *testing.T) {
	budget := NewBudget(1400)
	_, single := newTestHolder(t, budget, "a", 600)
	for range 2 {
		newTestHolder(t, budget, "b", 500)
	}
	requireTrue(t, !budget.NewHolder("c", testAllotment, func() {}).Take(300), "bytes were taken before they were released")
	requireTrue(t, *single == 0, "the single request was evicted")
}

// A request that may already run must not be evicted, however large it is.
func TestPinnedHolderStays(t *testing.T) {
	budget := NewBudget(1000)
	pinned, evictions := newTestHolder(t, budget, "a", 1100)
	requireTrue(t, pinned.Pin(), "not pinned")
	requireTrue(t, !budget.NewHolder("b", testAllotment, func() {}).Take(200), "bytes were taken")
	requireTrue(t, *evictions == 0 && !pinned.Evict(), "the pinned holder was evicted")
	pinned.Unpin()
	requireTrue(t, pinned.Evict() && !pinned.Pin(), "an evicted holder was pinned")
}

// A reservation that is released after its connection has been closed must not return its bytes twice.
func TestReleaseAfterClose(t *testing.T) {
	budget := NewBudget(1000)
	h, _ := newTestHolder(t, budget, "a", 0)
	reservation := h.NewReservation()
	requireTrue(t, reservation.Take(500), "no bytes were taken")
	h.Close()
	reservation.Release()
	requireTrue(t, budget.Available() == 1000 && !h.Take(1), "%d bytes are available", budget.Available())
}
