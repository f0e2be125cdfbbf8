package lrroute

import (
	"math"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// BlockEntryBytes is the memory that the table uses for one block.
	BlockEntryBytes = 80
	// blockTableWays is the number of blocks in a set of the table.
	blockTableWays = 4
	// holdersPerBlock is the number of engines that are recorded as holders of one block.
	holdersPerBlock = 4
	// tick is the unit of the times in the table.
	tick = 10 * time.Millisecond
)

// holder records that an engine had a block cached. The generation stands for the engine's incarnation.
type holder struct {
	engine     uint16
	generation uint16
	// confirmed is when the engine last used the block, in ticks. It is zero in an empty entry.
	confirmed uint32
	// stored is the number of blocks that the engine had stored at that time.
	stored uint32
}

// block is the entry of the table for one prefix block. Its size is PieceBytes.
type block struct {
	id lrprefix.ID
	// rate is the exponentially decayed load of the requests with the block, in tokens per second, at the tick usedAt.
	rate   float32
	usedAt uint32
	// nextKey is part of the identity of the block that last followed. It is zero when none has followed.
	nextKey uint32
	// subsetSize is the number of engines over which the requests with the block are spread.
	subsetSize uint16
	// branches is set when at least two different blocks have followed.
	branches bool
	// served is set when an engine has responded to a request with the block or reported the block as stored.
	served  bool
	holders [holdersPerBlock]holder
}

// blockTable is a set-associative table of blocks with a fixed size. A new block replaces the least recently used block of its set.
type blockTable struct {
	blocks []block
	sets   uint64
	window float64
}

func newBlockTable(bytes int, window time.Duration) *blockTable {
	sets := max(1, bytes/BlockEntryBytes/blockTableWays)
	return &blockTable{blocks: make([]block, sets*blockTableWays), sets: uint64(sets), window: window.Seconds()}
}

// find returns the block, or nil when the table does not contain it.
func (t *blockTable) find(id lrprefix.ID) *block {
	set := t.set(id)
	for n := range set {
		if set[n].id == id {
			return &set[n]
		}
	}
	return nil
}

// findOrInsert returns the block and reports whether it was in the table. Otherwise it replaces the least recently used block of its set.
func (t *blockTable) findOrInsert(id lrprefix.ID, now uint32) (*block, bool) {
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
	*oldest = block{id: id, usedAt: now}
	return oldest, false
}

// set returns the entries among which the block is stored.
func (t *blockTable) set(id lrprefix.ID) []block {
	start := blockKey(id) % t.sets * blockTableWays
	return t.blocks[start : start+blockTableWays]
}

// decay returns the factor by which a rate decays between two ticks.
func (t *blockTable) decay(from, to uint32) float64 {
	if to <= from {
		return 1
	}
	return math.Exp(-float64(to-from) * tick.Seconds() / t.window)
}

// recordUse adds a request of the given tokens to the rate of the block.
func (t *blockTable) recordUse(b *block, now uint32, tokens int) {
	b.rate = float32(float64(b.rate)*t.decay(b.usedAt, now) + float64(tokens)/t.window)
	b.usedAt = max(b.usedAt, now)
}

// addHolder records that the engine uses the block. It replaces the entry of the engine, or else the least recently confirmed one.
func (b *block) addHolder(h holder) {
	oldest := 0
	for n := range b.holders {
		if b.holders[n].engine == h.engine {
			b.holders[n] = h
			return
		}
		if b.holders[n].confirmed < b.holders[oldest].confirmed {
			oldest = n
		}
	}
	b.holders[oldest] = h
}

// dropHolder removes the engine from the holders of the block.
func (b *block) dropHolder(engine uint16) {
	for n := range b.holders {
		if b.holders[n].engine == engine {
			b.holders[n] = holder{}
		}
	}
}

// recordNext records which block followed.
func (b *block) recordNext(next lrprefix.ID) {
	key := uint32(blockKey(next)) | 1
	if b.nextKey != 0 && b.nextKey != key {
		b.branches = true
	}
	b.nextKey = key
}
