package lrbalance

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// beliefLife is how long an engine is believed to keep a part that was not used again.
	beliefLife = 9 * time.Second
	// beliefRoom is the most parts remembered of one engine. The stale ones are dropped when it is reached.
	beliefRoom = 20000
)

// A Key names the cache entry of a leading run of shared parts: its scope, the version of the weights and the parts.
type Key uint64

// prefix is one leading run of shared parts.
type prefix struct {
	key Key
	// tokens is the length of the last part of the run.
	tokens int
}

// prefixes returns the leading runs of shared parts under the version, the shortest first.
func prefixes(request Request, version int64) []prefix {
	if len(request.Parts) < 2 {
		return nil
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request.Scope))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(version)))
	runs := make([]prefix, 0, len(request.Parts)-1)
	for _, p := range request.Parts[:len(request.Parts)-1] {
		_, _ = hash.Write([]byte{'/'})
		_, _ = hash.Write([]byte(p.ID))
		runs = append(runs, prefix{key: Key(hash.Sum64()), tokens: p.Tokens})
	}
	return runs
}

// belief is what is believed of one part at one engine.
type belief struct {
	usedAt time.Time
	// isReady tells that the part has been computed, so that others may fetch it. It is false while it is computed.
	isReady bool
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
		b.set(now, engine, r.key, before.isReady && now.Sub(before.usedAt) < beliefLife)
	}
}

// ready notes that the engine has computed the runs.
func (b *beliefs) ready(now time.Time, engine string, runs []prefix) {
	for _, r := range runs {
		before, ok := b.engines[engine][r.key]
		if !ok || !before.isReady {
			b.near.add(now, Holding{Engine: engine, Key: r.key})
		}
		b.set(now, engine, r.key, true)
	}
}

// heard notes what another instance tells, and keeps it in the log for further instances if it is new.
func (b *beliefs) heard(now time.Time, holding Holding, log *newsLog) {
	before, ok := b.engines[holding.Engine][holding.Key]
	isNew := !ok || !before.isReady || now.Sub(before.usedAt) > beliefLife
	b.set(now, holding.Engine, holding.Key, true)
	if isNew {
		log.add(now, holding)
	}
}

func (b *beliefs) set(now time.Time, engine string, key Key, isReady bool) {
	held, ok := b.engines[engine]
	if !ok {
		held = map[Key]belief{}
		b.engines[engine] = held
	}
	if len(held) >= beliefRoom {
		dropStale(now, held)
	}
	held[key] = belief{usedAt: now, isReady: isReady}
}

func dropStale(now time.Time, held map[Key]belief) {
	for k, h := range held {
		if now.Sub(h.usedAt) > beliefLife {
			delete(held, k)
		}
	}
}

// cached returns the tokens of the runs that the engine is believed to hold or to be computing.
func (b *beliefs) cached(now time.Time, engine string, runs []prefix) int {
	return b.sum(now, engine, runs, false)
}

// fetchable returns the tokens of the runs that other engines may fetch from the engine.
func (b *beliefs) fetchable(now time.Time, engine string, runs []prefix) int {
	return b.sum(now, engine, runs, true)
}

func (b *beliefs) sum(now time.Time, engine string, runs []prefix, onlyReady bool) int {
	held := b.engines[engine]
	tokens := 0
	for _, r := range runs {
		h, ok := held[r.key]
		if !ok || now.Sub(h.usedAt) > beliefLife || onlyReady && !h.isReady {
			return tokens
		}
		tokens += r.tokens
	}
	return tokens
}

func (b *beliefs) forget(engine string) {
	delete(b.engines, engine)
}
