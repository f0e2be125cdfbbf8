package lrroute

import (
	"math"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// PieceBytes is the room that the table takes for one piece.
	PieceBytes = 80
	pieceWays  = 4
	holderRoom = 4
	tick       = 10 * time.Millisecond
)

// holder is an engine that is believed to hold a piece. The generation stands for the engine's incarnation.
type holder struct {
	engine     uint16
	generation uint16
	// confirmed is when the engine last used the piece, in ticks.
	confirmed uint32
	// stored is what the engine had stored at that time.
	stored uint32
}

// piece is what is known of one piece of a prompt. Its size is PieceBytes.
type piece struct {
	id lrprefix.ID
	// rate is the decayed load of the requests that hold the piece, in tokens a second, at the tick usedAt.
	rate   float32
	usedAt uint32
	// child is a part of the identity of the piece that followed last.
	child uint32
	// size is the number of engines over which the requests with the piece are spread.
	size uint16
	// branches tells that at least two different pieces followed.
	branches bool
	// answered tells that an engine has given an answer to a request with the piece.
	answered bool
	holders  [holderRoom]holder
}

// pieceTable keeps pieces in a fixed amount of room. The piece that was not used for the longest time gives way.
type pieceTable struct {
	pieces []piece
	sets   uint64
	window float64
}

func newPieceTable(bytes int, window time.Duration) *pieceTable {
	sets := max(1, bytes/PieceBytes/pieceWays)
	return &pieceTable{pieces: make([]piece, sets*pieceWays), sets: uint64(sets), window: window.Seconds()}
}

// find returns the piece, or nil when the table does not hold it.
func (t *pieceTable) find(id lrprefix.ID) *piece {
	set := t.set(id)
	for n := range set {
		if set[n].id == id {
			return &set[n]
		}
	}
	return nil
}

// take returns the piece and reports whether it was known. An unknown one takes the place of the least recent.
func (t *pieceTable) take(id lrprefix.ID, now uint32) (*piece, bool) {
	set := t.set(id)
	oldest := &set[0]
	for n := range set {
		if set[n].id == id {
			return &set[n], true
		}
		if set[n].usedAt < oldest.usedAt {
			oldest = &set[n]
		}
	}
	*oldest = piece{id: id, usedAt: now}
	return oldest, false
}

func (t *pieceTable) set(id lrprefix.ID) []piece {
	start := pieceKey(id) % t.sets * pieceWays
	return t.pieces[start : start+pieceWays]
}

// decay returns the factor by which a rate falls over the ticks.
func (t *pieceTable) decay(from, to uint32) float64 {
	if to <= from {
		return 1
	}
	return math.Exp(-float64(to-from) * tick.Seconds() / t.window)
}

// use counts a request of the given tokens for the piece.
func (t *pieceTable) use(p *piece, now uint32, tokens int) {
	p.rate = float32(float64(p.rate)*t.decay(p.usedAt, now) + float64(tokens)/t.window)
	p.usedAt = max(p.usedAt, now)
}

// hold notes that the engine uses the piece. The least recent holder gives way.
func (p *piece) hold(h holder) {
	oldest := 0
	for n := range p.holders {
		if p.holders[n].engine == h.engine {
			p.holders[n] = h
			return
		}
		if p.holders[n].confirmed < p.holders[oldest].confirmed {
			oldest = n
		}
	}
	p.holders[oldest] = h
}

// drop forgets that the engine holds the piece.
func (p *piece) drop(engine uint16) {
	for n := range p.holders {
		if p.holders[n].engine == engine {
			p.holders[n] = holder{}
		}
	}
}

// follow notes which piece came next.
func (p *piece) follow(next lrprefix.ID) {
	child := uint32(pieceKey(next)) | 1
	if p.child != 0 && p.child != child {
		p.branches = true
	}
	p.child = child
}
