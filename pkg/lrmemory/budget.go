// Package lrmemory bounds the bytes that all requests of an instance hold in memory at the same time, so that large
// requests together cannot exhaust it.
package lrmemory

import (
	"errors"
	"io"
	"sync"
)

const (
	// initialReservation is the number of bytes that ReadAll reserves first. Each further step doubles the reservation.
	initialReservation = 4 << 10
	// expectedGrowth is the factor of a step towards an expected size. The steps are few, since what is copied from one to the next is
	// garbage, and not a single one, since a client may announce more than it sends.
	expectedGrowth = 16
)

// A Budget is a budget of bytes that several requests share. It is safe for concurrent use.
type Budget struct {
	mutex     sync.Mutex
	available int
	// charged are the holders that use more than their allotment.
	charged map[*Holder]bool
	// evicting is the number of bytes that evicted holders have not released yet.
	evicting int
	// changed is closed when bytes have been released. It is nil while no holder waits.
	changed chan struct{}
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int) *Budget { return &Budget{available: bytes, charged: map[*Holder]bool{}} }

// Available returns the number of bytes that are not reserved.
func (r *Budget) Available() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.available
}

// NewReservation returns an empty reservation in the budget.
func (r *Budget) NewReservation() *Reservation { return &Reservation{budget: r} }

func (r *Budget) take(bytes int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if bytes > r.available {
		return false
	}
	r.available -= bytes
	if bytes < 0 {
		r.notify()
	}
	return true
}

// A Reservation is the reservation of one request. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	// holder is the connection that the bytes are counted for. It is nil if they are charged to the budget alone.
	holder   *Holder
	reserved int
	// expected is the number of bytes that ReadAll is expected to read. Zero means that it is unknown.
	expected int
}

// Expect sets the number of bytes that ReadAll is expected to read.
func (h *Reservation) Expect(bytes int) { h.expected = bytes }

// nextSize returns the size of the next buffer. One byte more than the expected size lets the end be seen.
func (h *Reservation) nextSize(size, limit int) int {
	next := max(2*size, initialReservation)
	if size > 0 && h.expected >= size {
		next = min(expectedGrowth*size, min(h.expected, limit)+1)
	}
	if limit-next < next/4 {
		// A further step for the last bytes would need as much again.
		next = limit + 1
	}
	return next
}

// Take reserves further bytes and reports whether it could.
func (h *Reservation) Take(bytes int) bool {
	isTaken := false
	if h.holder != nil {
		isTaken = h.holder.Take(bytes)
	} else {
		isTaken = h.budget.take(bytes)
	}
	if isTaken {
		h.reserved += bytes
	}
	return isTaken
}

// Release returns all reserved bytes to the budget. The data that was read must not be used afterwards.
func (h *Reservation) Release() { h.giveBack(h.reserved) }

func (h *Reservation) giveBack(bytes int) {
	if h.holder != nil {
		h.holder.Release(bytes)
	} else {
		h.budget.take(-bytes)
	}
	h.reserved -= bytes
}

// ReadAll reads to the end of the reader, as far as the limit in bytes and the budget allow, and reports whether it
// reached the end. With an error, or when the end was not reached, it returns the data that was read before.
func (h *Reservation) ReadAll(reader io.Reader, limit int) (data []byte, isWhole bool, err error) {
	for {
		if len(data) == cap(data) {
			// One byte more than the limit distinguishes content that ends at the limit from longer content.
			size := h.nextSize(cap(data), limit)
			// Both buffers exist while the bytes are copied.
			if len(data) > limit || !h.Take(size) {
				return data, false, nil
			}
			h.giveBack(cap(data))
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
