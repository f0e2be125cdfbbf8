package lrbalance

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrcache"
)

const (
	// estimateTTL is how long an engine is assumed to keep a block that is not used again.
	estimateTTL = 9 * time.Second
	// reportAgainAfter is the time after which a block in use is reported to other instances again. It is below
	// estimateTTL, because they drop their estimate of the block then.
	reportAgainAfter = 4 * time.Second
	// estimateBytes is the memory that one estimate takes, with its share of the empty slots of a map.
	estimateBytes = 40
	// defaultEstimateBytes is the memory for all estimates where Options set none.
	defaultEstimateBytes = 32 << 20
	// generations is the number of generations among which the memory is divided: two of engines and two of KV stores.
	generations = 4
	// maxHolders bounds the engines and KV stores of which there are estimates.
	maxHolders = 4096
	// saltStep is the distance between the salts of two holders. It is odd, so that all salts differ.
	saltStep = 0x9e3779b97f4a7c15
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

// A moment is a time in milliseconds since the creation of the estimates. Estimates are dropped long before it wraps around.
type moment uint32

// until returns the time from the moment to a later one.
func (m moment) until(later moment) time.Duration {
	return time.Duration(int32(later-m)) * time.Millisecond
}

// blockEstimate is the assumed state of one block at one engine or KV store.
type blockEstimate struct {
	usedAt moment
	// reportedAt is when the block was last reported to other instances. It has a meaning only if the block is ready.
	reportedAt moment
	// isReady means that the block has been computed, so that other engines may fetch it. It is false during the
	// computation.
	isReady bool
}

// A placedKey identifies a block at one engine or KV store.
type placedKey uint64

// holder is an engine or KV store, with the table of the blocks that it is assumed to hold.
type holder struct {
	// salt tells the keys of this holder from those of others, and of the same one before it was forgotten.
	salt  uint64
	table *lrcache.Generations[placedKey, blockEstimate]
}

func (h holder) place(key Key) placedKey { return placedKey(uint64(key) ^ h.salt) }

func (h holder) get(key Key) (blockEstimate, bool) { return h.table.Get(h.place(key)) }

func (h holder) set(now time.Time, key Key, estimate blockEstimate) {
	h.table.Set(now, h.place(key), estimate)
}

func (h holder) delete(key Key) { h.table.Delete(h.place(key)) }

// estimates are the shared blocks that engines and KV stores are assumed to hold, derived from the requests that
// were sent there and from the updates of other instances. The oldest are dropped first when their memory is used up.
type estimates struct {
	createdAt time.Time
	holders   map[string]holder
	lastSalt  uint64
	// engines and stores hold the estimates for the time that they can be used.
	engines *lrcache.Generations[placedKey, blockEstimate]
	stores  *lrcache.Generations[placedKey, blockEstimate]
	// sameZone holds the updates of this instance and of those that report to it, otherZones those from other
	// availability zones.
	sameZone   *updateLog
	otherZones *updateLog
}

func newEstimates(bytes int) *estimates {
	entries := max(bytes/(generations*estimateBytes), 1)
	return &estimates{
		holders:  map[string]holder{},
		engines:  lrcache.NewGenerations[placedKey, blockEstimate](lrcache.Limits{Entries: entries, Age: estimateTTL}),
		stores:   lrcache.NewGenerations[placedKey, blockEstimate](lrcache.Limits{Entries: entries, Age: maxStoreTTL}),
		sameZone: newUpdateLog(), otherZones: newUpdateLog(),
	}
}

// momentOf returns the time as a moment.
func (b *estimates) momentOf(now time.Time) moment {
	if b.createdAt.IsZero() {
		b.createdAt = now
	}
	return moment(now.Sub(b.createdAt).Milliseconds())
}

// holder returns the engine or KV store of the name, which may be new.
func (b *estimates) holder(name string) holder {
	known, ok := b.holders[name]
	if ok {
		return known
	}
	if len(b.holders) >= maxHolders {
		clear(b.holders)
	}
	b.lastSalt += saltStep
	added := holder{salt: b.lastSalt, table: b.engines}
	if strings.HasPrefix(name, storeNamePrefix) {
		added.table = b.stores
	}
	b.holders[name] = added
	return added
}

// markComputing records that the engine is about to compute those of the blocks that it lacks.
func (b *estimates) markComputing(now time.Time, engine string, blocks []prefixBlock) {
	h, at := b.holder(engine), b.momentOf(now)
	for _, r := range blocks {
		before, _ := h.get(r.key)
		isReady := before.isReady && before.usedAt.until(at) < estimateTTL
		h.set(now, r.key, blockEstimate{usedAt: at, isReady: isReady, reportedAt: before.reportedAt})
	}
}

// abandon removes those of the blocks that the engine was computing and did not finish.
func (b *estimates) abandon(engine string, blocks []prefixBlock) {
	h := b.holder(engine)
	for _, r := range blocks {
		if known, ok := h.get(r.key); ok && !known.isReady {
			h.delete(r.key)
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
	h, at := b.holder(update.Engine), b.momentOf(now)
	before, _ := h.get(update.Key)
	isReported := before.isReady && before.usedAt.until(at) < estimateTTL && before.reportedAt.until(at) < reportAgainAfter
	reportedAt := before.reportedAt
	if !isReported {
		log.add(now, update)
		reportedAt = at
	}
	h.set(now, update.Key, blockEstimate{usedAt: at, isReady: true, reportedAt: reportedAt})
}

// held returns the number of tokens in the leading blocks that the engine is assumed to hold or to be computing, and how many of them other
// engines may fetch from it, provided that it used them within the TTL, which is at most estimateTTL.
func (b *estimates) held(now time.Time, engine string, blocks []prefixBlock, ttl time.Duration) (cached, ready int) {
	if len(blocks) == 0 {
		return 0, 0
	}
	h, at, isFetchable := b.holder(engine), b.momentOf(now), true
	for _, r := range blocks {
		known, ok := h.get(r.key)
		if !ok {
			return cached, ready
		}
		age := known.usedAt.until(at)
		if age > estimateTTL {
			return cached, ready
		}
		cached += r.tokens
		isFetchable = isFetchable && known.isReady && age <= ttl
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
	h, at := b.holder(engine), b.momentOf(now)
	tokens := 0
	for _, r := range blocks {
		known, ok := h.get(r.key)
		if !ok || known.usedAt.until(at) > ttl || onlyReady && !known.isReady {
			return tokens
		}
		tokens += r.tokens
	}
	return tokens
}

// forget drops the estimates of the engine or KV store. They cannot be found any more, and are removed with their generation.
func (b *estimates) forget(engine string) { delete(b.holders, engine) }
