package lrroute

import (
	"slices"
	"time"
)

const (
	// leastBusyLimit is the number of engines with the least work that are recorded for a model.
	leastBusyLimit = 8
	// leastBusyProbes is the number of those that become candidates in a decision.
	leastBusyProbes = 2
)

// findLeastBusy records which usable engines of the model have the least work.
func (n *NestedPlacer) findLeastBusy(m *modelState) {
	m.leastBusy = m.leastBusy[:0]
	for _, index := range m.indexes {
		if n.engines[index].usable {
			n.insertLeastBusy(m, index)
		}
	}
}

// insertLeastBusy inserts the engine in the order of work if it is among those with the least work.
func (n *NestedPlacer) insertLeastBusy(m *modelState, index uint16) {
	at, _ := slices.BinarySearchFunc(m.leastBusy, n.engines[index].busyUntil, func(o uint16, until time.Time) int {
		return n.engines[o].busyUntil.Compare(until)
	})
	if at == leastBusyLimit {
		return
	}
	if len(m.leastBusy) == leastBusyLimit {
		m.leastBusy = m.leastBusy[:leastBusyLimit-1]
	}
	m.leastBusy = slices.Insert(m.leastBusy, at, index)
}

// gatherLeastBusy adds those of the recorded engines that have the least work now. It starts at a random position, so that ties are broken
// at random.
func (n *NestedPlacer) gatherLeastBusy(now time.Time, m *modelState, request Request) {
	start := 0
	if len(m.leastBusy) > 0 {
		start = n.random.IntN(len(m.leastBusy))
	}
	var best [leastBusyProbes]int
	count := 0
	for k := range m.leastBusy {
		position := (start + k) % len(m.leastBusy)
		wait := n.engines[m.leastBusy[position]].queueWait(now)
		at := count
		for at > 0 && wait < n.engines[m.leastBusy[best[at-1]]].queueWait(now) {
			at--
		}
		if at == leastBusyProbes {
			continue
		}
		count = min(count+1, leastBusyProbes)
		copy(best[at+1:count], best[at:count-1])
		best[at] = position
	}
	for _, position := range best[:count] {
		n.addCandidate(request, candidate{engine: m.leastBusy[position], reason: "least work"})
	}
}
