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
	// newsFor is how long a part that an engine has come to hold is told to other instances.
	newsFor = 1200 * time.Millisecond
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

// A Holding tells that an engine holds parts.
type Holding struct {
	Engine string
	Keys   []Key
}

// beliefs are the shared parts that engines are believed to hold, since requests with them were sent there.
type beliefs struct {
	engines map[string]map[Key]belief
	news    map[string]map[Key]time.Time
}

func newBeliefs() *beliefs {
	return &beliefs{engines: map[string]map[Key]belief{}, news: map[string]map[Key]time.Time{}}
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
			b.tell(now, engine, r.key)
		}
		b.set(now, engine, r.key, true)
	}
}

// heard notes what another instance tells.
func (b *beliefs) heard(now time.Time, holding Holding) {
	for _, k := range holding.Keys {
		b.set(now, holding.Engine, k, true)
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

func (b *beliefs) tell(now time.Time, engine string, key Key) {
	told, ok := b.news[engine]
	if !ok {
		told = map[Key]time.Time{}
		b.news[engine] = told
	}
	told[key] = now
}

// takeNews returns what engines have come to hold of late.
func (b *beliefs) takeNews(now time.Time) []Holding {
	var holdings []Holding
	for engine, told := range b.news {
		h := Holding{Engine: engine}
		for k, at := range told {
			if now.Sub(at) > newsFor {
				delete(told, k)
				continue
			}
			h.Keys = append(h.Keys, k)
		}
		if len(h.Keys) == 0 {
			delete(b.news, engine)
			continue
		}
		holdings = append(holdings, h)
	}
	return holdings
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
	delete(b.news, engine)
}
