package lrbalance

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

const (
	// longPromptBlocks is the number of shared blocks of a long prompt: 12 thousand tokens in blocks of 64.
	longPromptBlocks = 187
	longPrompts      = 40
	// manyBlocks is more than the blocks of one engine that the two-year size asks for.
	manyBlocks = 60_000
)

// longPrompt returns a request of which half the shared blocks are common to all and the others belong to a case.
func longPrompt(number int) Request {
	request := Request{Scope: "school/m", Tokens: 64 * longPromptBlocks, Stores: []Store{newTestStore()}}
	for n := range longPromptBlocks + 1 {
		id := fmt.Sprint("rule ", n)
		if n > longPromptBlocks/2 {
			id = fmt.Sprint("case ", number, " ", n)
		}
		request.Blocks = append(request.Blocks, Block{ID: id, Tokens: 64})
	}
	return request
}

// serveLongPrompts serves prompts of different cases and returns the processor time that they take.
func serveLongPrompts(b *Balancer, now time.Time, from int) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := threadTime()
	for n := range longPrompts {
		choice, _ := b.Choose(now, longPrompt(from+n), newTestEngines(4))
		b.FirstEvent(now, choice)
		b.End(choice, true)
	}
	return threadTime() - before
}

func threadTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestManyBlocksDelayNoRequest guards against instances that answer nothing while they work on all that they believe of the engines' caches with
// each block of a prompt: after a burst of prompts in many parts all instances hung.
func TestManyBlocksDelayNoRequest(t *testing.T) {
	const maxRatio = 20
	now := time.Unix(1000, 0)
	b := newTestBalancer(1)
	serveLongPrompts(b, now, 0)
	few := serveLongPrompts(b, now, longPrompts)
	updates := make([]CacheUpdate, 0, manyBlocks)
	for n := range manyBlocks {
		updates = append(updates, CacheUpdate{Engine: newTestStore().name(), Key: KeyOf("school/m", 1, fmt.Sprint("other ", n))})
	}
	for _, e := range newTestEngines(4) {
		for n := range updates {
			updates[n].Engine = e.ID
		}
		b.Merge(now, updates, false)
	}
	for n := range updates {
		updates[n].Engine = newTestStore().name()
	}
	b.Merge(now, updates, false)
	many := serveLongPrompts(b, now.Add(time.Second), 2*longPrompts)
	if many > maxRatio*few {
		t.Errorf("%d prompts take %v beside %d blocks an engine, and %v beside few", longPrompts, many, manyBlocks, few)
	}
}

// TestOldEstimatesEnd guards against estimates that are kept for good, although an engine has evicted the block since.
func TestOldEstimatesEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(1)
	for n := range 100 {
		b.RecordCached(now, "e0", []Key{Key(n)})
		now = now.Add(time.Second)
	}
	if known := b.estimates.engines.Len(); known > 2*int(estimateTTL/time.Second) {
		t.Errorf("%d blocks are remembered", known)
	}
}

// TestEstimatesStayWithinTheirMemory guards against estimates that fill the memory of the process, which is killed for it: with small blocks, many
// engines and few instances they grew without end. Blocks in use must stay known beside any number of others.
func TestEstimatesStayWithinTheirMemory(t *testing.T) {
	const bytes, rounds, blocksPerRound, engines, tolerance = 4 << 20, 300, 4000, 90, 1.25
	now := time.Unix(1000, 0)
	b := New(Options{PrefillPerMilli: testPrefill, Zone: "a", EstimateBytes: bytes})
	inUse := []prefixBlock{{key: KeyOf("school/m", 1, "rules"), tokens: 64}}
	before := heapBytes()
	for round := range rounds {
		b.RecordCached(now, "e0", []Key{inUse[0].key})
		for n := range blocksPerRound {
			b.RecordCached(now, fmt.Sprint("e", n%engines), []Key{Key(lrhash.RendezvousScore("block", fmt.Sprint(round, n)))})
		}
		now = now.Add(50 * time.Millisecond)
		cached, _ := b.estimates.held(now, "e0", inUse, estimateTTL)
		requireEqual(t, cached, inUse[0].tokens)
	}
	grown := heapBytes() - before
	// The logs of updates for other instances have a bound of their own.
	logs := 2 * maxLogEntries * int(unsafe.Sizeof(updateEntry{}))
	if float64(grown) > tolerance*float64(bytes+logs) {
		t.Errorf("the estimates take %d bytes of %d", grown, bytes)
	}
	runtime.KeepAlive(b)
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
