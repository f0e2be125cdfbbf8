package lrroute

import (
	"slices"
	"time"
)

const (
	// idleRoom is the number of engines that are kept as those with the least work.
	idleRoom = 8
	// idleProbes is the number of them that each decision compares.
	idleProbes = 2
)

// findIdle notes which usable engines of the model have the least work.
func (n *Nested) findIdle(m *modelState) {
	m.idle = m.idle[:0]
	for _, index := range m.indexes {
		if n.engines[index].usable {
			n.insertIdle(m, index)
		}
	}
}

// insertIdle keeps the engine when it is among those with the least work, in the order of their work.
func (n *Nested) insertIdle(m *modelState, index uint16) {
	at, _ := slices.BinarySearchFunc(m.idle, n.engines[index].busyUntil, func(o uint16, until time.Time) int {
		return n.engines[o].busyUntil.Compare(until)
	})
	if at == idleRoom {
		return
	}
	if len(m.idle) == idleRoom {
		m.idle = m.idle[:idleRoom-1]
	}
	m.idle = slices.Insert(m.idle, at, index)
}

// gatherIdle adds those engines of the idle ones that have the least work now.
func (n *Nested) gatherIdle(now time.Time, m *modelState, request Request) {
	start := 0
	if len(m.idle) > 0 {
		start = n.random.IntN(len(m.idle))
	}
	var best [idleProbes]int
	count := 0
	for k := range m.idle {
		position := (start + k) % len(m.idle)
		wait := n.engines[m.idle[position]].queueWait(now)
		at := count
		for at > 0 && wait < n.engines[m.idle[best[at-1]]].queueWait(now) {
			at--
		}
		if at == idleProbes {
			continue
		}
		count = min(count+1, idleProbes)
		copy(best[at+1:count], best[at:count-1])
		best[at] = position
	}
	for _, position := range best[:count] {
		n.add(request, candidate{engine: m.idle[position], reason: "least work"})
	}
}
