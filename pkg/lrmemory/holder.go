package lrmemory

import "time"

// A Holder is the part of a budget that one connection uses. Its first bytes, the allotment, are not charged to the budget: they are
// bounded by the number of connections. So a request of ordinary size always finds memory. When the budget is used up, the holder with
// the most bytes is evicted. It is safe for concurrent use.
type Holder struct {
	budget    *Budget
	address   string
	allotment int
	evict     func()
	// held is the number of bytes in use, the allotment included.
	held int
	// isPinned is set while the holder must not be evicted. isEvicted is set once it has been.
	isPinned  bool
	isEvicted bool
	isClosed  bool
}

// evictionRatio is how many times more bytes a holder must have to be evicted in favour of another. Holders of like size would otherwise
// replace one another without end, and none would be served.
const evictionRatio = 2

// maxEvictionWait bounds how long Take waits until evicted holders have released their bytes.
const maxEvictionWait = 200 * time.Millisecond

// NewHolder returns a holder for a connection from the address. The evict function is called at most once, when the budget needs the bytes
// of the holder; it must not block, and Release must follow soon.
func (r *Budget) NewHolder(address string, allotment int, evict func()) *Holder {
	return &Holder{budget: r, address: address, allotment: allotment, evict: evict}
}

// Take reserves bytes and reports whether it could. Where the budget is used up it evicts the holder with the most bytes and waits for
// them, unless this holder would have about as many.
func (h *Holder) Take(bytes int) bool {
	end := time.Now().Add(maxEvictionWait)
	for {
		isDone, isTaken, changed := h.tryTake(bytes)
		if isDone {
			return isTaken
		}
		timer := time.NewTimer(time.Until(end))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return false
		}
	}
}

// tryTake takes the bytes, or evicts a holder and returns a channel that is closed when bytes have been released.
func (h *Holder) tryTake(bytes int) (isDone, isTaken bool, changed <-chan struct{}) {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.isEvicted {
		return true, false, nil
	}
	charge := h.excess(bytes) - h.excess(0)
	if charge <= b.available {
		h.add(bytes)
		return true, true, nil
	}
	if charge > b.available+b.evicting {
		victim := b.heaviest()
		if victim == nil || victim == h || victim.excess(0) < evictionRatio*h.excess(bytes) {
			return true, false, nil
		}
		victim.isEvicted = true
		b.evicting += victim.excess(0)
		victim.evict()
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return false, false, b.changed
}

// Release returns bytes that were taken.
func (h *Holder) Release(bytes int) {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.add(-bytes)
}

// Close releases all bytes of the holder. It takes none afterwards.
func (h *Holder) Close() {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.add(-h.held)
	h.isEvicted, h.isClosed = true, true
}

// Evict evicts the holder unless it is pinned, and reports whether it did.
func (h *Holder) Evict() bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	if h.isPinned || h.isEvicted {
		return false
	}
	h.isEvicted = true
	h.budget.evicting += h.excess(0)
	h.evict()
	return true
}

// Pin keeps the holder from being evicted until Unpin, and reports whether it can: an evicted holder cannot.
func (h *Holder) Pin() bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.isPinned = !h.isEvicted
	return h.isPinned
}

// Unpin ends the effect of Pin.
func (h *Holder) Unpin() {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.isPinned = false
}

// IsEvicted reports whether the holder has been evicted or closed.
func (h *Holder) IsEvicted() bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	return h.isEvicted
}

// NewReservation returns an empty reservation in the holder.
func (h *Holder) NewReservation() *Reservation { return &Reservation{budget: h.budget, holder: h} }

// excess returns the bytes that are charged to the budget when the holder has the number of further bytes.
func (h *Holder) excess(further int) int { return max(h.held+further-h.allotment, 0) }

// add changes the number of bytes. The caller holds the mutex of the budget.
func (h *Holder) add(bytes int) {
	if h.isClosed {
		return
	}
	b := h.budget
	before := h.excess(0)
	h.held += bytes
	after := h.excess(0)
	b.available -= after - before
	if h.isEvicted {
		b.evicting += after - before
	}
	if after > 0 {
		b.charged[h] = true
	} else {
		delete(b.charged, h)
	}
	if after < before {
		b.notify()
	}
}

// notify wakes the holders that wait for bytes. The caller holds the mutex.
func (r *Budget) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// heaviest returns the largest holder of the caller address whose holders have the most bytes charged, leaving out those that are pinned
// or evicted. The caller holds the mutex.
func (r *Budget) heaviest() *Holder {
	totals := map[string]int{}
	for h := range r.charged {
		if h.isEvictable() {
			totals[h.address] += h.excess(0)
		}
	}
	var heaviest *Holder
	for h := range r.charged {
		if h.isEvictable() && (heaviest == nil || h.isHeavierThan(heaviest, totals)) {
			heaviest = h
		}
	}
	return heaviest
}

func (h *Holder) isEvictable() bool { return !h.isPinned && !h.isEvicted }

func (h *Holder) isHeavierThan(other *Holder, totals map[string]int) bool {
	if totals[h.address] != totals[other.address] {
		return totals[h.address] > totals[other.address]
	}
	return h.held > other.held
}
