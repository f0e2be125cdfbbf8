package lrroute

import (
	"hash/fnv"
)

// slotCount is the number of slots of a table. It is a prime, so that every cursor visits all slots, and well above the number of engines
// of one model.
const slotCount = 65537

// slotTable is a lookup table of Maglev hashing. It spreads engines evenly over slots and depends only on their names. When an engine is
// added or removed, few of the other slots change their engine.
type slotTable struct {
	engines int
	slots   []uint16
}

// newSlotTable returns a table whose slots contain positions in names, which must be sorted.
func newSlotTable(names []string) *slotTable {
	table := &slotTable{engines: len(names)}
	if len(names) == 0 {
		return table
	}
	table.slots = make([]uint16, slotCount)
	taken := make([]bool, slotCount)
	cursors := make([]slotCursor, len(names))
	for n, name := range names {
		cursors[n] = newSlotCursor(name)
	}
	for filled := 0; filled < slotCount; {
		for n := range cursors {
			slot := cursors[n].next()
			for taken[slot] {
				slot = cursors[n].next()
			}
			taken[slot] = true
			table.slots[slot] = uint16(n)
			filled++
			if filled == slotCount {
				break
			}
		}
	}
	return table
}

// at returns the position of the engine that owns the slot of the key.
func (t *slotTable) at(key uint64) uint16 {
	return t.slots[key%slotCount]
}

// slotCursor iterates over all slots in the order in which one engine claims them.
type slotCursor struct {
	slot uint64
	skip uint64
}

func newSlotCursor(name string) slotCursor {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	sum := mix(hash.Sum64())
	return slotCursor{slot: sum % slotCount, skip: mix(sum+mixStep)%(slotCount-1) + 1}
}

// next returns the current slot and advances the cursor.
func (c *slotCursor) next() uint64 {
	slot := c.slot
	c.slot = (c.slot + c.skip) % slotCount
	return slot
}
