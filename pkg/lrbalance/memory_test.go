package lrbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// memoryOfS is the number of tokens that an engine of S holds: about 20 long prompts, at 64 slots.
const memoryOfS = 258_782

func newMemoryEngines(count, memory int) []Engine {
	engines := newTestEngines(count)
	for n := range engines {
		engines[n].Zone, engines[n].Slots, engines[n].Memory = "a", 64, memory
	}
	return engines
}

func newLongRequest(own string) Request {
	return Request{
		Scope: "s", Service: "svc", Tokens: 12_000, OutputTokens: 60, Target: 1500 * time.Millisecond,
		Blocks: []Block{{ID: "rules", Tokens: 5400}, {ID: own, Tokens: 6600}},
	}
}

// TestFullEngineIsNotChosen guards against long prompts at an engine that computes nothing and has free slots, but no memory left, while
// another one has room.
func TestFullEngineIsNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	loads := map[string]Load{"e0": {Running: 20, Held: 20 * 12_660}, "e1": {Running: 30, Held: 30 * 2400}}
	cases := []struct {
		name   string
		memory int
		loads  map[string]Load
		want   string
	}{
		{"full", memoryOfS, loads, "e1"},
		{"memory is not known", 0, loads, "e0"},
		{"both have room", 2 * memoryOfS, loads, "e0"},
		{"both are full, the other by far more", memoryOfS, map[string]Load{"e0": loads["e0"], "e1": {Running: 30, Held: 4 * memoryOfS}}, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(1)
			b.SetOtherLoads(c.loads)
			choice, ok := b.Choose(now, Request{Scope: "s", Service: "svc", Tokens: 12_000, OutputTokens: 60}, newMemoryEngines(2, c.memory))
			requireEqual(t, ok, true)
			requireEqual(t, choice.Engine.ID, c.want)
		})
	}
}

// TestWaitForMemory guards against a wait for memory where a request fits, and against a wait that does not grow with what is missing or is not
// bounded. Requests for which others are preempted wait less.
func TestWaitForMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	wait := func(held, urgency int) time.Duration {
		b := newTestBalancer(1)
		b.noteUrgency(now, "svc", 2)
		request := newLongRequest("x")
		request.Urgency = urgency
		p, candidates := b.newPlacement(now, request, newMemoryEngines(1, memoryOfS))
		return p.memoryWait(candidates[0], Load{Held: held})
	}
	requireEqual(t, wait(0, 2), 0)
	requireEqual(t, wait(memoryOfS-12_060, 2), 0)
	requireEqual(t, wait(memoryOfS, 2) > 0, true)
	requireEqual(t, wait(2*memoryOfS, 2) > wait(memoryOfS, 2), true)
	requireEqual(t, wait(2*memoryOfS, 0), wait(2*memoryOfS, 2)/4)
	requireEqual(t, wait(1<<40, 2) <= maxOvercommit*assumedResidence, true)
}

// TestRequestLargerThanMemory guards against attempts that an engine refuses as full at any load, and against a false capacity that leaves no
// engine.
func TestRequestLargerThanMemory(t *testing.T) {
	engines := newMemoryEngines(2, memoryOfS)
	engines[0].Memory = 10_000
	for range 5 {
		choice, _ := newTestBalancer(1).Choose(time.Unix(1000, 0), newLongRequest("x"), engines)
		requireEqual(t, choice.Engine.ID, "e1")
	}
	_, ok := newTestBalancer(1).Choose(time.Unix(1000, 0), newLongRequest("x"), engines[:1])
	requireEqual(t, ok, true)
}

// TestHeldTokensAreCountedOnce guards against shared parts that are counted for each request of an instance, and against tokens that stay
// counted after requests have ended in any order and way.
func TestHeldTokensAreCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b, engines := newTestBalancer(1), newMemoryEngines(1, memoryOfS)
	first, _ := b.Choose(now, newLongRequest("x"), engines)
	requireEqual(t, b.Load("e0").Held, 12_060)
	second, _ := b.Choose(now, newLongRequest("y"), engines)
	requireEqual(t, b.Load("e0").Held, 12_060+6_660)
	b.End(first, false)
	requireEqual(t, b.Load("e0").Held, 12_060)
	b.End(second, false)
	requireEqual(t, len(b.OwnLoads()), 0)
	requireEqual(t, len(b.held), 0)

	random := rand.New(rand.NewPCG(1, 1))
	engines = newMemoryEngines(4, memoryOfS)
	var open []Choice
	for n := range 2000 {
		now = now.Add(time.Millisecond)
		if len(open) > 0 && random.IntN(2) == 0 {
			k := random.IntN(len(open))
			computed := random.IntN(2) == 0
			if computed {
				b.FirstEvent(now, open[k])
			}
			b.End(open[k], computed)
			open = append(open[:k], open[k+1:]...)
			continue
		}
		request := newLongRequest(fmt.Sprint(n))
		request.Blocks[0].ID = fmt.Sprint("rules", random.IntN(3))
		choice, _ := b.Choose(now, request, engines)
		open = append(open, choice)
	}
	for _, c := range open {
		b.End(c, false)
	}
	requireEqual(t, len(b.OwnLoads()), 0)
	requireEqual(t, len(b.held), 0)
}

// TestEngineWithRoomIsNotFlooded guards against 74 and 420 instances that all send to the one engine with free memory, before they know one
// another's load.
func TestEngineWithRoomIsNotFlooded(t *testing.T) {
	const count = 60
	for _, instances := range []int{74, 420} {
		engines, loads := newMemoryEngines(count, memoryOfS), map[string]Load{}
		for n := range engines {
			loads[engines[n].ID] = Load{Running: 20, Held: memoryOfS}
		}
		delete(loads, "e6")
		sent := 0
		for n := range instances {
			b := newTestBalancer(uint64(n))
			b.SetOtherLoads(loads)
			request := newLongRequest("x")
			request.Blocks[0].ID, request.Instances = fmt.Sprint("rules", n), instances
			choice, _ := b.Choose(time.Unix(1000, 0), request, engines)
			if choice.Engine.ID == "e6" {
				sent += choice.ownTokens + 5400
			}
		}
		t.Logf("%d instances send %d tokens to the engine that can hold %d", instances, sent, memoryOfS)
		requireEqual(t, sent > 0 && sent <= 3*memoryOfS, true)
	}
}

// TestResidenceIsLearned guards against an expected wait for memory that is wrong by the difference between the assumed and the real time for
// which requests hold it, and against one request that changes it much.
func TestResidenceIsLearned(t *testing.T) {
	b, now := newTestBalancer(1), time.Unix(1000, 0)
	for n := range 200 {
		choice, _ := b.Choose(now, newLongRequest(fmt.Sprint(n)), newMemoryEngines(1, memoryOfS))
		took := 2 * time.Second
		if n%10 == 0 {
			took = time.Hour
		}
		b.now = now.Add(choice.Wait - choice.compute + took)
		b.FirstEvent(b.now, choice)
		b.End(choice, true)
	}
	got := b.memoryModel("svc").residence
	requireEqual(t, fmt.Sprint(got, " is near 2s: ", got > 1500*time.Millisecond && got < 2500*time.Millisecond), fmt.Sprint(got, " is near 2s: true"))
}
