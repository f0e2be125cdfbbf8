package lrmemory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

var errTest = errors.New("broken")

func TestReadAll(t *testing.T) {
	const limit = 10_000
	cases := []struct {
		name    string
		bytes   int
		room    int
		isWhole bool
	}{
		{"nothing", 0, limit * 2, true},
		{"a little", 10, limit * 2, true},
		{"as much as one step", firstStep, limit * 2, true},
		{"up to the limit", limit, limit * 2, true},
		{"beyond the limit", limit + 1, limit * 2, false},
		{"far beyond the limit", limit * 10, limit * 2, false},
		{"no room", 10, firstStep - 1, false},
		{"room for one step alone", firstStep + 1, firstStep + 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			room := NewRoom(c.room)
			hold := room.Hold()
			content := bytes.Repeat([]byte("x"), c.bytes)
			rest := iotest.HalfReader(bytes.NewReader(content))
			data, isWhole, err := hold.ReadAll(rest, limit)
			requireTrue(t, err == nil && isWhole == c.isWhole, "whole: got %v, want %v; error %v", isWhole, c.isWhole, err)
			left, _ := io.ReadAll(rest)
			requireTrue(t, bytes.Equal(append(data, left...), content), "bytes are lost")
			requireTrue(t, room.Left() >= c.room-limit-1, "more than the limit is held")
			hold.Release()
			requireTrue(t, room.Left() == c.room, "%d of %d bytes are left", room.Left(), c.room)
		})
	}
}

// TestBrokenReadingIsNotWhole ends with an error in the middle.
func TestBrokenReadingIsNotWhole(t *testing.T) {
	hold := NewRoom(1 << 20).Hold()
	data, isWhole, err := hold.ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(errTest)), 1000)
	requireTrue(t, errors.Is(err, errTest) && !isWhole && string(data) == "half", "got %q, whole %v, error %v", data, isWhole, err)
}

// TestHoldsShareTheRoom gives the second request what the first one has given back.
func TestHoldsShareTheRoom(t *testing.T) {
	room := NewRoom(firstStep)
	first, second := room.Hold(), room.Hold()
	content := []byte("content")
	_, isWhole, _ := first.ReadAll(bytes.NewReader(content), 100)
	requireTrue(t, isWhole, "the first content is not whole")
	_, isWhole, _ = second.ReadAll(bytes.NewReader(content), firstStep*2)
	requireTrue(t, !isWhole, "both hold more than the room")
	first.Release()
	_, isWhole, _ = second.ReadAll(bytes.NewReader(content), firstStep*2)
	requireTrue(t, isWhole, "the room was not given back")
}

func requireTrue(t *testing.T, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Fatalf(format, args...)
	}
}
