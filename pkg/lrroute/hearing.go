package lrroute

const (
	hearingRoom = 64
	// loneHomeShare is the part of the unknown pieces that counts as held by the engine that hashing chooses, while
	// the placements of most other instances are not heard.
	loneHomeShare = 0.3
)

// hearing compares the notes of other instances with this instance's own placements.
type hearing struct{ own, heard int }

// placed counts a placement of this instance. Older counts lose their weight.
func (h *hearing) placed() {
	h.own++
	if h.own == hearingRoom {
		h.own /= 2
		h.heard /= 2
	}
}

// good reports whether at least as many placements of others were heard as this instance made.
func (h *hearing) good() bool { return h.heard > 0 && h.heard >= h.own }

// homeShare returns the part of the unknown pieces that counts as held by the engine that hashing chooses. An instance
// that hears little of the others must rely on hashing more.
func (n *Nested) homeShare() float64 {
	least := loneHomeShare
	if n.hearing.good() {
		least = n.options.homeShare
	}
	return max(least, n.homeTrust)
}
