// Package lrmemory bounds the bytes that all requests of an instance hold in memory at the same time, so that large
// requests together cannot exhaust it.
package lrmemory

import (
	"errors"
	"io"
	"sync"
)

// initialReservation is the number of bytes that ReadAll reserves first. Each further step doubles the reservation.
const initialReservation = 4 << 10

// A Budget is a budget of bytes that several requests share. It is safe for concurrent use.
type Budget struct {
	mutex     sync.Mutex
	available int
}

// NewBudget returns a Room of the given number of bytes.
func NewBudget(bytes int) *Budget { return &Budget{available: bytes} }

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
	return true
}

// A Reservation is the reservation of one request. It is not safe for concurrent use.
type Reservation struct {
	budget   *Budget
	reserved int
}

// Release returns all reserved bytes to the budget. The data that was read must not be used afterwards.
func (h *Reservation) Release() {
	h.budget.take(-h.reserved)
	h.reserved = 0
}

// ReadAll reads to the end of the reader, as far as the limit in bytes and the budget allow, and reports whether it
// reached the end. With an error, or when the end was not reached, it returns the data that was read before.
func (h *Reservation) ReadAll(reader io.Reader, limit int) (data []byte, isWhole bool, err error) {
	for {
		if len(data) == cap(data) {
			// One byte more than the limit distinguishes content that ends at the limit from longer content.
			size := min(max(2*cap(data), initialReservation), limit+1)
			if len(data) > limit || !h.budget.take(size-cap(data)) {
				return data, false, nil
			}
			h.reserved += size - cap(data)
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
