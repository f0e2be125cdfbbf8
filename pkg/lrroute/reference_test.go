package lrroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// referenceCache is a reference model of the cache estimate: it records, without eviction, which incarnation was sent which blocks.
type referenceCache struct {
	incarnations map[string]int
	sent         map[string]bool
}

func (b *referenceCache) key(engine string, id lrprefix.ID) string {
	return fmt.Sprint(engine, "/", b.incarnations[engine], "/", id)
}

func (b *referenceCache) recordSent(engine string, chain []lrprefix.ID) {
	for _, id := range chain {
		b.sent[b.key(engine, id)] = true
	}
}

func (b *referenceCache) sentBlocks(engine string, chain []lrprefix.ID) int {
	for n, id := range chain {
		if !b.sent[b.key(engine, id)] {
			return n
		}
	}
	return len(chain)
}

// TestCacheEstimateNeverExceedsSentBlocks runs random placements, responses, failures and restarts, and compares the cached tokens expected
// of an engine with everything that was ever sent to its current incarnation.
func TestCacheEstimateNeverExceedsSentBlocks(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			n := newTestNested(6, WithSeed(seed))
			reference := &referenceCache{incarnations: map[string]int{}, sent: map[string]bool{}}
			now := testStart()
			expected := 0
			for k := range 500 {
				now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
				account := fmt.Sprint("account-", random.IntN(3), "/version-", random.IntN(2))
				request := testRequest(fmt.Sprint(k), testChain(account, 1+random.IntN(6), 4+random.IntN(6), random.IntN(4)))
				placement := mustPlace(t, n, now, request)
				if placement.ExpectedCachedTokens > reference.sentBlocks(placement.Engine, request.Chain)*lrprefix.BlockTokens {
					t.Fatalf("request %d: %d cached tokens expected of %s", k, placement.ExpectedCachedTokens, placement.Engine)
				}
				expected += placement.ExpectedCachedTokens
				reference.recordSent(placement.Engine, request.Chain)
				if random.IntN(10) > 0 {
					n.Learn(now, reference.feedback(placement, request))
				}
				n.Finish(now, placement.Engine, request)
				if random.IntN(20) == 0 {
					reference.incarnations[placement.Engine]++
					n.SetEngines(now, testModel, reference.engines(6, now))
				}
			}
			if expected == 0 {
				t.Fatal("no cached tokens were expected of any engine")
			}
		})
	}
}

func (b *referenceCache) incarnation(engine string) string {
	var index int
	_, _ = fmt.Sscanf(engine, "engine-%d", &index)
	return fmt.Sprint(index, "/", b.incarnations[engine]+1)
}

func (b *referenceCache) feedback(placement Placement, request Request) Feedback {
	return Feedback{
		Engine: placement.Engine, Incarnation: b.incarnation(placement.Engine), Request: request,
		CachedTokens: placement.ExpectedCachedTokens, TimeToFirstToken: time.Second,
	}
}

func (b *referenceCache) engines(count int, now time.Time) []Engine {
	engines := testEngines(count, now)
	for k := range engines {
		engines[k].Incarnation = b.incarnation(engines[k].Name)
	}
	return engines
}

func TestJumpHashMovesOnlyToTheNewBucket(t *testing.T) {
	for key := range uint64(1000) {
		for buckets := 1; buckets < 50; buckets++ {
			before, after := jumpHash(mix(key), buckets), jumpHash(mix(key), buckets+1)
			if after != before && after != buckets {
				t.Fatalf("key %d moved from %d to %d of %d buckets", key, before, after, buckets+1)
			}
		}
	}
}

func TestSlotTableIsEvenAndStable(t *testing.T) {
	names := make([]string, 0, 900)
	for _, e := range testEngines(900, testStart()) {
		names = append(names, e.Name)
	}
	whole := newSlotTable(names)
	without := newSlotTable(names[:899])
	counts := make([]int, len(names))
	moved := 0
	for slot, owner := range whole.slots {
		counts[owner]++
		if owner != 899 && without.slots[slot] != owner {
			moved++
		}
	}
	for n, count := range counts {
		if count < slotCount/900 || count > slotCount/900+1 {
			t.Fatalf("engine %d owns %d slots", n, count)
		}
	}
	if moved > slotCount/50 {
		t.Fatalf("%d of %d slots moved between engines that stayed", moved, slotCount)
	}
}

func TestRanksAreDistinctAndFollowTheSlots(t *testing.T) {
	for _, engines := range []int{1, 2, 12, 900} {
		n := newTestNested(engines)
		m := n.models[testModel]
		for branch := range 50 {
			n.scratch.levels = []level{{first: testChain("a", 0, 1, branch)[0]}}
			n.scratch.ranking, n.scratch.slotProbes = nil, 0
			var reference []uint16
			seen := map[uint16]bool{}
			for draw := 0; len(reference) < min(engines, distinctRanks/4) && draw < 100000; draw++ {
				index := m.indexes[m.table.at(memberKey(n.scratch.levels[0].first, draw))]
				if !seen[index] {
					seen[index] = true
					reference = append(reference, index)
				}
			}
			for rank, want := range reference {
				requireEqual(t, n.ranked(m, rank), want, fmt.Sprint("engine at rank ", rank, " of ", engines))
			}
		}
	}
}

// TestRatesAreDecayedSums compares the rate of a block with the decayed sum over all uses.
func TestRatesAreDecayedSums(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	table := newBlockTable(1<<16, time.Minute)
	uses := map[lrprefix.ID][]uint32{}
	now := uint32(1)
	for range 2000 {
		now += uint32(random.IntN(50))
		id := testChain("a", 0, 1, random.IntN(40))[0]
		b, _ := table.findOrInsert(id, now)
		table.recordUse(b, now, 100)
		uses[id] = append(uses[id], now)
	}
	for id, times := range uses {
		want := 0.0
		for _, at := range times {
			want += 100.0 / 60 * math.Exp(-float64(now-at)*tick.Seconds()/60)
		}
		b := table.find(id)
		got := float64(b.rate) * table.decay(b.usedAt, now)
		if math.Abs(got-want) > 0.001*want+1e-6 {
			t.Fatalf("rate of %s: got %g, want %g", id, got, want)
		}
	}
}

func TestBlockTableKeepsItsSize(t *testing.T) {
	table := newBlockTable(1<<14, time.Minute)
	before := len(table.blocks)
	for branch := range 10000 {
		id := testChain("a", 0, 1, branch)[0]
		b, _ := table.findOrInsert(id, uint32(branch+1))
		requireEqual(t, b.id, id, "identity")
	}
	requireEqual(t, len(table.blocks), before, "blocks")
	if BlockEntryBytes*before > 1<<14 {
		t.Fatalf("%d blocks take more than the given memory", before)
	}
}

// referenceQueue is a reference model of the queue of an engine: it records all placements and drains the queue from the last report on.
type referenceQueue struct {
	reportedAt time.Time
	queued     time.Duration
	placements map[time.Time]time.Duration
}

func (q *referenceQueue) wait(now time.Time) time.Duration {
	total := q.queued
	for at, work := range q.placements {
		if at.After(q.reportedAt) {
			total += work
		}
	}
	return max(0, total-now.Sub(q.reportedAt))
}

// TestQueueWaitIsReportPlusPlacements compares the estimated queue wait of a busy engine with that of the reference model.
func TestQueueWaitIsReportPlusPlacements(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	n := newTestNested(1)
	now := testStart()
	reference := &referenceQueue{reportedAt: now.Add(time.Millisecond), queued: 2 * time.Second, placements: map[time.Time]time.Duration{}}
	engines := testEngines(1, reference.reportedAt)
	engines[0].QueuedTokens = int(reference.queued / defaultPrefillPerToken)
	n.SetEngines(now, testModel, engines)
	for k := range 300 {
		now = now.Add(time.Duration(1+random.IntN(20)) * time.Millisecond)
		request := testRequest(fmt.Sprint(k), testChain("a", 0, 2, k))
		_ = mustPlace(t, n, now, request)
		reference.placements[now] = time.Duration(request.Tokens) * defaultPrefillPerToken
		if random.IntN(10) == 0 {
			reference.reportedAt, reference.queued = now.Add(-5*time.Millisecond), time.Duration(10_000+random.IntN(20_000))*defaultPrefillPerToken
			engines := testEngines(1, reference.reportedAt)
			engines[0].QueuedTokens = int(reference.queued / defaultPrefillPerToken)
			n.SetEngines(now, testModel, engines)
		}
		requireEqual(t, n.engines[0].queueWait(now), reference.wait(now), "queue")
	}
}

func TestRemovingMemberMovesOnlyItsNames(t *testing.T) {
	members := make([]string, 0, 60)
	for n := range 60 {
		members = append(members, fmt.Sprint("router-", n))
	}
	counts := make([]int, len(members))
	for _, e := range testEngines(900, testStart()) {
		owner := Owner(e.Name, members)
		counts[owner]++
		without := Owner(e.Name, members[:59])
		if owner != 59 {
			requireEqual(t, without, owner, "owner of "+e.Name)
		}
	}
	for n, count := range counts {
		if count == 0 {
			t.Fatalf("member %d owns nothing", n)
		}
	}
	requireEqual(t, Owner("engine", nil), -1, "owner without members")
}
