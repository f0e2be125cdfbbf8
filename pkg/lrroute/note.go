package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	noteRoom        = 512
	foreignSendRoom = 256
)

// A Note tells the other instances of one placement.
type Note struct {
	Engine      string
	Incarnation string
	Model       string
	Chain       []lrprefix.ID
	// Tokens is the length of the prompt, and Missing the part of it that had to be computed.
	Tokens  int
	Missing int
	// Age is the time since the placement.
	Age time.Duration
}

// outgoingNote is a note that waits for being sent.
type outgoingNote struct {
	note Note
	at   time.Time
}

// foreignSend is work that another instance has sent to an engine.
type foreignSend struct {
	engine uint16
	work   time.Duration
	at     time.Time
}

// note keeps a note of a placement until TakeNotes. When there is no room left, the note is dropped.
func (n *Nested) note(now time.Time, request Request, engine uint16, missing int) {
	if !n.options.notes || len(n.outgoing) == noteRoom {
		return
	}
	state := &n.engines[engine]
	n.outgoing = append(n.outgoing, outgoingNote{at: now, note: Note{
		Engine: state.Name, Incarnation: state.Incarnation, Model: request.Scope.Model,
		Chain: request.Chain, Tokens: request.Tokens, Missing: missing,
	}})
}

// TakeNotes returns at most limit notes of the latest placements and forgets all others.
func (n *Nested) TakeNotes(now time.Time, limit int) []Note {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	first := max(0, len(n.outgoing)-limit)
	notes := make([]Note, 0, len(n.outgoing)-first)
	for _, o := range n.outgoing[first:] {
		o.note.Age = now.Sub(o.at)
		notes = append(notes, o.note)
	}
	clear(n.outgoing)
	n.outgoing = n.outgoing[:0]
	return notes
}

// ApplyNotes takes in what other instances have placed.
func (n *Nested) ApplyNotes(now time.Time, notes []Note) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.start(now)
	for _, note := range notes {
		n.hearing.heard++
		n.apply(now, note)
	}
	n.recount()
}

func (n *Nested) apply(now time.Time, note Note) {
	m, ok := n.models[note.Model]
	if !ok || len(m.indexes) == 0 {
		return
	}
	n.observe(m, n.ticks(now), Request{Chain: note.Chain, Tokens: note.Tokens})
	index, ok := n.byName[note.Engine]
	if !ok || !n.engines[index].meet(note.Incarnation) {
		return
	}
	at := now.Add(-note.Age)
	n.engines[index].stored += uint32(note.Missing / lrprefix.PieceTokens)
	h := n.holder(at, index)
	for _, p := range n.scratch.chain {
		p.hold(h)
	}
	n.foreign[n.nextForeign] = foreignSend{engine: index, work: time.Duration(note.Missing) * n.perToken, at: at}
	n.nextForeign = (n.nextForeign + 1) % foreignSendRoom
}
