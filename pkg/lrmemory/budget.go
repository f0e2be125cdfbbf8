// Package lrmemory bounds the bytes that all requests of an instance hold at a time, so that large ones together cannot exceed its memory.
package lrmemory

import (
	"errors"
	"io"
	"sync"
)

// firstStep is what a reading takes from the room at once. Each further step doubles what is held.
const firstStep = 4 << 10

// A Room is a bounded number of bytes. It is safe for use by several goroutines.
type Room struct {
	mutex sync.Mutex
	left  int
}

// NewRoom returns a Room of the given number of bytes.
func NewRoom(bytes int) *Room { return &Room{left: bytes} }

// Left returns the bytes that nobody holds.
func (r *Room) Left() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.left
}

// Hold returns a Hold on the room that has taken nothing yet.
func (r *Room) Hold() *Hold { return &Hold{room: r} }

func (r *Room) take(bytes int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if bytes > r.left {
		return false
	}
	r.left -= bytes
	return true
}

// A Hold is what one request has taken from the room. It is not safe for use by several goroutines.
type Hold struct {
	room  *Room
	taken int
}

// Release gives everything back. What was read must not be used any more.
func (h *Hold) Release() {
	h.room.take(-h.taken)
	h.taken = 0
}

// ReadAll reads to the end, as far as the limit and the room allow. It reports whether it reached the end. What it returns beside an
// error or without the end is what was read until then.
func (h *Hold) ReadAll(reader io.Reader, limit int) (data []byte, isWhole bool, err error) {
	for {
		if len(data) == cap(data) {
			// One more byte than the limit tells an end at the limit from a longer content.
			size := min(max(2*cap(data), firstStep), limit+1)
			if len(data) > limit || !h.room.take(size-cap(data)) {
				return data, false, nil
			}
			h.taken += size - cap(data)
			data = append(make([]byte, 0, size), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, len(data) <= limit, nil
		case err != nil:
			return data, false, err
		}
	}
}
