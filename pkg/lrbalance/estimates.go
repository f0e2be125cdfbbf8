package lrbalance

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// estimateTTL is how long an engine is assumed to keep a block that is not used again.
	estimateTTL = 9 * time.Second
	// reportAgainAfter is the time after which a block in use is reported to other instances again. It is below
	// estimateTTL, because they drop their estimate of the block then.
	reportAgainAfter = 4 * time.Second
	// maxBlocksPerEngine is the number of blocks of one engine at which stale ones are dropped before another one is
	// added.
	maxBlocksPerEngine = 20000
)

// A Key identifies the cache entry of a shared block: a hash of the scope, the version of the weights and the block. An
// engine can use the entry only if it also holds the entries of all blocks before it in the prompt.
type Key uint64

// KeyOf returns the key of the block under the scope and the version of the weights.
func KeyOf(scope string, version int64, block string) Key {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(scope))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(version)))
	_, _ = hash.Write([]byte(block))
	return Key(hash.Sum64())
}

// prefixBlock is one of the leading shared blocks of a prompt.
type prefixBlock struct {
	key    Key
	tokens int
}

// prefixBlocks returns the shared blocks of the request under the version of the weights, in prompt order.
func prefixBlocks(request Request, version int64) []prefixBlock {
	shared := sharedBlocks(request)
	blocks := make([]prefixBlock, 0, len(shared))
	for _, p := range shared {
		blocks = append(blocks, prefixBlock{key: KeyOf(request.Scope, version, p.ID), tokens: p.Tokens})
	}
	return blocks
}

// blockEstimate is the assumed state of one block at one engine or KV store.
type blockEstimate struct {
	usedAt time.Time
	// isReady means that the block has been computed, so that other engines may fetch it. It is false during the
	// computation.
	isReady bool
	// reportedAt is when the block was last reported to other instances.
	reportedAt time.Time
}

// estimates are the shared blocks that engines and KV stores are assumed to hold, derived from the requests that
// were sent there and from the updates of other instances.
type estimates struct {
	engines map[string]map[Key]blockEstimate
	// sameZone holds the updates of this instance and of those that report to it, otherZones those from other
	// availability zones.
	sameZone   *updateLog
	otherZones *updateLog
}

func newEstimates() *estimates {
	return &estimates{engines: map[string]map[Key]blockEstimate{}, sameZone: newUpdateLog(), otherZones: newUpdateLog()}
}

// markComputing records that the engine is about to compute those of the blocks that it lacks.
func (b *estimates) markComputing(now time.Time, engine string, blocks []prefixBlock) {
	for _, r := range blocks {
		before := b.engines[engine][r.key]
		b.set(engine, r.key, blockEstimate{
			usedAt: now, isReady: before.isReady && now.Sub(before.usedAt) < estimateTTL, reportedAt: before.reportedAt,
		})
	}
}

// abandon removes those of the blocks that the engine was computing and did not finish.
func (b *estimates) abandon(engine string, blocks []prefixBlock) {
	known := b.engines[engine]
	for _, r := range blocks {
		if h, ok := known[r.key]; ok && !h.isReady {
			delete(known, r.key)
		}
	}
}

// markReady records that the engine has computed the blocks.
func (b *estimates) markReady(now time.Time, engine string, blocks []prefixBlock) {
	for _, r := range blocks {
		b.markHeld(now, CacheUpdate{Engine: engine, Key: r.key}, b.sameZone)
	}
}

// receive applies an update from another instance and adds it to the log for further instances.
func (b *estimates) receive(now time.Time, update CacheUpdate, log *updateLog) {
	b.markHeld(now, update, log)
}

// markHeld records that an engine holds a block. It also logs an update for other instances unless the block was
// reported recently.
func (b *estimates) markHeld(now time.Time, update CacheUpdate, log *updateLog) {
	before := b.engines[update.Engine][update.Key]
	isReported := before.isReady && now.Sub(before.usedAt) < estimateTTL && now.Sub(before.reportedAt) < reportAgainAfter
	reportedAt := before.reportedAt
	if !isReported {
		log.add(now, update)
		reportedAt = now
	}
	b.set(update.Engine, update.Key, blockEstimate{usedAt: now, isReady: true, reportedAt: reportedAt})
}

func (b *estimates) set(engine string, key Key, entry blockEstimate) {
	known, ok := b.engines[engine]
	if !ok {
		known = map[Key]blockEstimate{}
		b.engines[engine] = known
	}
	if len(known) >= maxBlocksPerEngine {
		dropStale(entry.usedAt, known)
	}
	known[key] = entry
}

func dropStale(now time.Time, known map[Key]blockEstimate) {
	for k, h := range known {
		if now.Sub(h.usedAt) > maxStoreTTL {
			delete(known, k)
		}
	}
}

// held returns the number of tokens in the leading blocks that the engine is assumed to hold or to be computing, and how many of them other
// engines may fetch from it, provided that it used them within the TTL, which is at most estimateTTL.
func (b *estimates) held(now time.Time, engine string, blocks []prefixBlock, ttl time.Duration) (cached, ready int) {
	if len(blocks) == 0 {
		return 0, 0
	}
	known, isFetchable := b.engines[engine], true
	for _, r := range blocks {
		h, ok := known[r.key]
		if !ok {
			return cached, ready
		}
		age := now.Sub(h.usedAt)
		if age > estimateTTL {
			return cached, ready
		}
		cached += r.tokens
		isFetchable = isFetchable && h.isReady && age <= ttl
		if isFetchable {
			ready += r.tokens
		}
	}
	return cached, ready
}

// fetchable returns the number of tokens in the leading blocks that other engines may fetch from the engine, provided
// that it used them within the TTL.
func (b *estimates) fetchable(now time.Time, engine string, blocks []prefixBlock, ttl time.Duration) int {
	return b.sum(now, engine, blocks, ttl, true)
}

// sum returns the number of tokens in the blocks up to the first that is missing, older than the TTL or, with onlyReady,
// still being computed.
func (b *estimates) sum(now time.Time, engine string, blocks []prefixBlock, ttl time.Duration, onlyReady bool) int {
	known := b.engines[engine]
	tokens := 0
	for _, r := range blocks {
		h, ok := known[r.key]
		if !ok || now.Sub(h.usedAt) > ttl || onlyReady && !h.isReady {
			return tokens
		}
		tokens += r.tokens
	}
	return tokens
}

func (b *estimates) forget(engine string) {
	delete(b.engines, engine)
}
