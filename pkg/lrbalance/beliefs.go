package lrbalance

import (
	"strings"
	"time"
)

const (
	// beliefLife is how long an engine is believed to keep a part that was not used again.
	beliefLife = 20 * time.Second
	// beliefRoom is the most parts remembered of one engine. All are forgotten when it is reached.
	beliefRoom = 20000
)

// beliefs are the shared parts that engines are believed to hold, since this instance has sent requests with them.
type beliefs struct {
	engines map[string]map[string]time.Time
}

func newBeliefs() *beliefs { return &beliefs{engines: map[string]map[string]time.Time{}} }

// prefixes calls the function with the identity of each leading run of shared parts and its last part.
func prefixes(request Request, visit func(key string, part Part) bool) {
	key := request.Scope
	for n, p := range request.Parts {
		if n == len(request.Parts)-1 {
			return
		}
		key = strings.Join([]string{key, p.ID}, "/")
		if !visit(key, p) {
			return
		}
	}
}

func (b *beliefs) add(now time.Time, engine string, request Request) {
	held, ok := b.engines[engine]
	if !ok || len(held) > beliefRoom {
		held = map[string]time.Time{}
		b.engines[engine] = held
	}
	prefixes(request, func(key string, _ Part) bool {
		held[key] = now
		return true
	})
}

// cached returns the tokens of the request's prompt that the engine is believed to hold.
func (b *beliefs) cached(now time.Time, engine string, request Request) int {
	held := b.engines[engine]
	tokens := 0
	prefixes(request, func(key string, p Part) bool {
		used, ok := held[key]
		if !ok || now.Sub(used) > beliefLife {
			return false
		}
		tokens += p.Tokens
		return true
	})
	return tokens
}

func (b *beliefs) forget(engine string) { delete(b.engines, engine) }
