package lrfleet

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// TestHeldTokensAndSpeedReachAllInstances guards against an engine that one instance knows to be full or slow while the others go on filling
// it, and against loads of an instance that outlive it.
func TestHeldTokensAndSpeedReachAllInstances(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	engines := []lrbalance.Engine{{ID: "e", Zone: "a", Slots: 64, Memory: 200_000}}
	for _, s := range f.sharers[:2] {
		choice, _ := s.Balancer.Choose(f.now, lrbalance.Request{Tokens: 1000, OutputTokens: 50}, engines)
		for range 20 {
			s.Balancer.FirstEventAfter(f.now.Add(10*choice.Wait), choice)
		}
	}
	f.run(600 * time.Millisecond)
	for _, s := range f.sharers {
		load := s.Balancer.Load("e")
		requireEqual(t, s.Self.Name+" knows the held tokens", load.Held, 2100)
		if s != f.sharers[0] {
			requireEqual(t, s.Self.Name+" knows that the engine is slow", load.SlownessSum > 0 && load.SlownessWeight > 0, true)
		}
	}
	f.dead[f.sharers[0].Self.Name] = true
	f.run(3 * time.Second)
	requireEqual(t, "held tokens without the lost instance", f.find("c2").Balancer.Load("e").Held, 1050)
}

// TestMissingMemoryIsLoggedOnce guards against one log line for each table of a deployment whose engines name no memory.
func TestMissingMemoryIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	d := NewDirectory(zerolog.New(&log))
	for version := range uint64(5) {
		d.SetSpec(lrtable.Spec{Version: version + 1, Services: []lrtable.Service{{Name: "engines", Slots: 64}, {Name: "plain"}}})
	}
	requireEqual(t, "lines", strings.Count(log.String(), "memory of engines is not known"), 1)
}
