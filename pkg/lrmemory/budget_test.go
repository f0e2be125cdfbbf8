package lrmemory

import (
	"bytes"
	"errors"
	"io"
	"math"
	"testing"
	"testing/iotest"
)

var errTest = errors.New("broken")

func TestReadAll(t *testing.T) {
	const limit = 10_000
	cases := []struct {
		name    string
		bytes   int
		budget  int
		isWhole bool
	}{
		{"nothing", 0, limit * 2, true},
		{"less than one step", 10, limit * 2, true},
		{"exactly one step", initialReservation, limit * 2, true},
		{"exactly the limit", limit, limit * 2, true},
		{"beyond the limit", limit + 1, limit * 2, false},
		{"far beyond the limit", limit * 10, limit * 2, false},
		{"budget below one step", 10, initialReservation - 1, false},
		{"budget for only one step", initialReservation + 1, initialReservation + 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget := NewBudget(c.budget)
			reservation := budget.NewReservation()
			content := bytes.Repeat([]byte("x"), c.bytes)
			rest := iotest.HalfReader(bytes.NewReader(content))
			data, isWhole, err := reservation.ReadAll(rest, limit)
			requireTrue(t, err == nil && isWhole == c.isWhole, "whole: got %v, want %v; error %v", isWhole, c.isWhole, err)
			left, _ := io.ReadAll(rest)
			requireTrue(t, bytes.Equal(append(data, left...), content), "bytes were lost")
			requireTrue(t, budget.Available() >= c.budget-limit-1, "more than the limit is reserved")
			reservation.Release()
			requireTrue(t, budget.Available() == c.budget, "%d of %d bytes are available", budget.Available(), c.budget)
		})
	}
}

// An expected size must neither lose bytes nor be trusted: content may be shorter or longer, and may reach the limit.
func TestReadAllWithAnExpectedSize(t *testing.T) {
	const limit = 200_000
	for _, expected := range []int{1, initialReservation, 5000, 70_000, limit - 1, limit, 10 * limit, math.MaxInt} {
		for _, size := range []int{0, 10, initialReservation, 5000, 70_000, limit, limit + 1} {
			budget := NewBudget(3 * limit)
			reservation := budget.NewReservation()
			reservation.Expect(expected)
			content := bytes.Repeat([]byte("x"), size)
			data, isWhole, err := reservation.ReadAll(bytes.NewReader(content), limit)
			requireTrue(t, err == nil && isWhole == (size <= limit), "expected %d, size %d: whole %v, error %v", expected, size, isWhole, err)
			requireTrue(t, len(data) >= min(size, limit), "expected %d, size %d: %d bytes", expected, size, len(data))
			reservation.Release()
			requireTrue(t, budget.Available() == 3*limit, "%d bytes are available", budget.Available())
		}
	}
}

// TestFailedReadIsNotWhole reads from a reader that fails in the middle.
func TestFailedReadIsNotWhole(t *testing.T) {
	reservation := NewBudget(1 << 20).NewReservation()
	data, isWhole, err := reservation.ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(errTest)), 1000)
	requireTrue(t, errors.Is(err, errTest) && !isWhole && string(data) == "half", "got %q, whole %v, error %v", data, isWhole, err)
}

// TestReservationsShareTheBudget expects the second request to get the bytes that the first one released.
func TestReservationsShareTheBudget(t *testing.T) {
	budget := NewBudget(initialReservation)
	first, second := budget.NewReservation(), budget.NewReservation()
	content := []byte("content")
	_, isWhole, _ := first.ReadAll(bytes.NewReader(content), 100)
	requireTrue(t, isWhole, "the first content is not whole")
	_, isWhole, _ = second.ReadAll(bytes.NewReader(content), initialReservation*2)
	requireTrue(t, !isWhole, "both reservations together exceed the budget")
	first.Release()
	_, isWhole, _ = second.ReadAll(bytes.NewReader(content), initialReservation*2)
	requireTrue(t, isWhole, "the reserved bytes were not released")
}

func requireTrue(t *testing.T, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Fatalf(format, args...)
	}
}
