package lrbalance

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// beliefLife is how long an engine is believed to keep a part that was not used again.
	beliefLife = 9 * time.Second
	// tellAgainAfter is the time after which others are told of a part again when it is used: they believe in it only for
	// beliefLife.
	tellAgainAfter = 4 * time.Second
	// beliefRoom is the most parts remembered of one engine. The stale ones are dropped when it is reached.
	beliefRoom = 20000
)

// A Key names the cache entry of a shared part: its scope, the version of the weights and the part. An engine uses it only if it holds all
// parts of the prompt before it too.
type Key uint64

// KeyOf returns the key of the part under the scope and the version of the weights.
func KeyOf(scope string, version int64, part string) Key {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(scope))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(version)))
	_, _ = hash.Write([]byte(part))
	return Key(hash.Sum64())
}

// prefix is one of the leading shared parts of a prompt.
type prefix struct {
	key    Key
	tokens int
}

// prefixes returns the shared parts of the request under the version, in order.
func prefixes(request Request, version int64) []prefix {
	parts := sharedParts(request)
	runs := make([]prefix, 0, len(parts))
	for _, p := range parts {
		runs = append(runs, prefix{key: KeyOf(request.Scope, version, p.ID), tokens: p.Tokens})
	}
	return runs
}

// belief is what is believed of one part at one engine.
type belief struct {
	usedAt time.Time
	// isReady tells that the part has been computed, so that others may fetch it. It is false while it is computed.
	isReady bool
	// toldAt is when others were last told of the part.
	toldAt time.Time
}

// beliefs are the shared parts that engines are believed to hold, since requests with them were sent there.
type beliefs struct {
	engines map[string]map[Key]belief
	// near are news of this instance and of those that report to it, far those of other availability zones.
	near *newsLog
	far  *newsLog
}

func newBeliefs() *beliefs {
	return &beliefs{engines: map[string]map[Key]belief{}, near: newNewsLog(), far: newNewsLog()}
}

// begin notes that the engine is about to compute what it lacks of the runs.
func (b *beliefs) begin(now time.Time, engine string, runs []prefix) {
	for _, r := range runs {
		before := b.engines[engine][r.key]
		b.set(engine, r.key, belief{
			usedAt: now, isReady: before.isReady && now.Sub(before.usedAt) < beliefLife, toldAt: before.toldAt,
		})
	}
}

// abandon notes that the engine has not computed what it lacked of the runs.
func (b *beliefs) abandon(engine string, runs []prefix) {
	held := b.engines[engine]
	for _, r := range runs {
		if h, ok := held[r.key]; ok && !h.isReady {
			delete(held, r.key)
		}
	}
}

// ready notes that the engine has computed the runs.
func (b *beliefs) ready(now time.Time, engine string, runs []prefix) {
	for _, r := range runs {
		b.hold(now, Holding{Engine: engine, Key: r.key}, b.near)
	}
}

// heard notes what another instance tells, and keeps it in the log for further instances.
func (b *beliefs) heard(now time.Time, holding Holding, log *newsLog) { b.hold(now, holding, log) }

// hold notes that an engine holds a part, and tells others of it unless they have heard so a while ago.
func (b *beliefs) hold(now time.Time, holding Holding, log *newsLog) {
	before := b.engines[holding.Engine][holding.Key]
	isKnown := before.isReady && now.Sub(before.usedAt) < beliefLife && now.Sub(before.toldAt) < tellAgainAfter
	toldAt := before.toldAt
	if !isKnown {
		log.add(now, holding)
		toldAt = now
	}
	b.set(holding.Engine, holding.Key, belief{usedAt: now, isReady: true, toldAt: toldAt})
}

func (b *beliefs) set(engine string, key Key, entry belief) {
	held, ok := b.engines[engine]
	if !ok {
		held = map[Key]belief{}
		b.engines[engine] = held
	}
	if len(held) >= beliefRoom {
		dropStale(entry.usedAt, held)
	}
	held[key] = entry
}

func dropStale(now time.Time, held map[Key]belief) {
	for k, h := range held {
		if now.Sub(h.usedAt) > maxKeptLife {
			delete(held, k)
		}
	}
}

// cached returns the tokens of the runs that the engine is believed to hold or to be computing.
func (b *beliefs) cached(now time.Time, engine string, runs []prefix) int {
	return b.sum(now, engine, runs, beliefLife, false)
}

// fetchable returns the tokens of the runs that other engines may fetch from the engine, if it used them within the life.
func (b *beliefs) fetchable(now time.Time, engine string, runs []prefix, life time.Duration) int {
	return b.sum(now, engine, runs, life, true)
}

func (b *beliefs) sum(now time.Time, engine string, runs []prefix, life time.Duration, onlyReady bool) int {
	held := b.engines[engine]
	tokens := 0
	for _, r := range runs {
		h, ok := held[r.key]
		if !ok || now.Sub(h.usedAt) > life || onlyReady && !h.isReady {
			return tokens
		}
		tokens += r.tokens
	}
	return tokens
}

func (b *beliefs) forget(engine string) {
	delete(b.engines, engine)
}
