package lrroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// naiveBeliefs remembers for ever which incarnation of an engine was sent which pieces.
type naiveBeliefs struct {
	incarnations map[string]int
	sent         map[string]bool
}

func (b *naiveBeliefs) key(engine string, id lrprefix.ID) string {
	return fmt.Sprint(engine, "/", b.incarnations[engine], "/", id)
}

func (b *naiveBeliefs) send(engine string, chain []lrprefix.ID) {
	for _, id := range chain {
		b.sent[b.key(engine, id)] = true
	}
}

func (b *naiveBeliefs) held(engine string, chain []lrprefix.ID) int {
	for n, id := range chain {
		if !b.sent[b.key(engine, id)] {
			return n
		}
	}
	return len(chain)
}

// TestBeliefsNeverExceedWhatWasSent plays random placements, answers, failures and restarts, and compares what is
// expected of an engine's cache with everything that was ever sent to its present incarnation.
func TestBeliefsNeverExceedWhatWasSent(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			n := newTestNested(6, WithSeed(seed))
			naive := &naiveBeliefs{incarnations: map[string]int{}, sent: map[string]bool{}}
			now := testStart()
			expected := 0
			for k := range 500 {
				now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
				account := fmt.Sprint("account-", random.IntN(3), "/version-", random.IntN(2))
				request := testRequest(fmt.Sprint(k), testChain(account, 1+random.IntN(6), 4+random.IntN(6), random.IntN(4)))
				placement := mustPlace(t, n, now, request)
				if placement.ExpectedCachedTokens > naive.held(placement.Engine, request.Chain)*lrprefix.PieceTokens {
					t.Fatalf("request %d: %d tokens expected of %s", k, placement.ExpectedCachedTokens, placement.Engine)
				}
				expected += placement.ExpectedCachedTokens
				naive.send(placement.Engine, request.Chain)
				if random.IntN(10) > 0 {
					n.Learn(now, naive.feedback(placement, request))
				}
				n.Finish(now, placement.Engine, request)
				if random.IntN(20) == 0 {
					naive.incarnations[placement.Engine]++
					n.SetEngines(now, testModel, naive.engines(6, now))
				}
			}
			if expected == 0 {
				t.Fatal("nothing was ever expected of a cache")
			}
		})
	}
}

func (b *naiveBeliefs) incarnation(engine string) string {
	var index int
	_, _ = fmt.Sscanf(engine, "engine-%d", &index)
	return fmt.Sprint(index, "/", b.incarnations[engine]+1)
}

func (b *naiveBeliefs) feedback(placement Placement, request Request) Feedback {
	return Feedback{
		Engine: placement.Engine, Incarnation: b.incarnation(placement.Engine), Request: request,
		CachedTokens: placement.ExpectedCachedTokens, FirstToken: time.Second,
	}
}

func (b *naiveBeliefs) engines(count int, now time.Time) []Engine {
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
			n.scratch.order, n.scratch.walked = nil, 0
			var naive []uint16
			seen := map[uint16]bool{}
			for draw := 0; len(naive) < min(engines, distinctMembers/4) && draw < 100000; draw++ {
				index := m.indexes[m.table.at(memberKey(n.scratch.levels[0].first, draw))]
				if !seen[index] {
					seen[index] = true
					naive = append(naive, index)
				}
			}
			for rank, want := range naive {
				requireEqual(t, n.ranked(m, rank), want, fmt.Sprint("engine at rank ", rank, " of ", engines))
			}
		}
	}
}

// TestRatesAreDecayedSums compares the rate of a piece with the sum over every single use.
func TestRatesAreDecayedSums(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	table := newPieceTable(1<<16, time.Minute)
	uses := map[lrprefix.ID][]uint32{}
	now := uint32(1)
	for range 2000 {
		now += uint32(random.IntN(50))
		id := testChain("a", 0, 1, random.IntN(40))[0]
		p, _ := table.take(id, now)
		table.use(p, now, 100)
		uses[id] = append(uses[id], now)
	}
	for id, times := range uses {
		want := 0.0
		for _, at := range times {
			want += 100.0 / 60 * math.Exp(-float64(now-at)*tick.Seconds()/60)
		}
		p := table.find(id)
		got := float64(p.rate) * table.decay(p.usedAt, now)
		if math.Abs(got-want) > 0.001*want+1e-6 {
			t.Fatalf("rate of %s: got %g, want %g", id, got, want)
		}
	}
}

func TestPieceTableKeepsItsSize(t *testing.T) {
	table := newPieceTable(1<<14, time.Minute)
	before := len(table.pieces)
	for branch := range 10000 {
		id := testChain("a", 0, 1, branch)[0]
		p, _ := table.take(id, uint32(branch+1))
		requireEqual(t, p.id, id, "identity")
	}
	requireEqual(t, len(table.pieces), before, "pieces")
	if PieceBytes*before > 1<<14 {
		t.Fatalf("%d pieces take more than the room given", before)
	}
}

// naiveQueue keeps every send and drains the queue from the last report on.
type naiveQueue struct {
	reported time.Time
	queued   time.Duration
	sends    map[time.Time]time.Duration
}

func (q *naiveQueue) wait(now time.Time) time.Duration {
	total := q.queued
	for at, work := range q.sends {
		if at.After(q.reported) {
			total += work
		}
	}
	return max(0, total-now.Sub(q.reported))
}

// TestQueueIsReportPlusSends compares the estimated queue of a busy engine with the naive sum.
func TestQueueIsReportPlusSends(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	n := newTestNested(1)
	now := testStart()
	naive := &naiveQueue{reported: now.Add(time.Millisecond), queued: 2 * time.Second, sends: map[time.Time]time.Duration{}}
	engines := testEngines(1, naive.reported)
	engines[0].QueuedTokens = int(naive.queued / defaultPrefillPerToken)
	n.SetEngines(now, testModel, engines)
	for k := range 300 {
		now = now.Add(time.Duration(1+random.IntN(20)) * time.Millisecond)
		request := testRequest(fmt.Sprint(k), testChain("a", 0, 2, k))
		_ = mustPlace(t, n, now, request)
		naive.sends[now] = time.Duration(request.Tokens) * defaultPrefillPerToken
		if random.IntN(10) == 0 {
			naive.reported, naive.queued = now.Add(-5*time.Millisecond), time.Duration(10_000+random.IntN(20_000))*defaultPrefillPerToken
			engines := testEngines(1, naive.reported)
			engines[0].QueuedTokens = int(naive.queued / defaultPrefillPerToken)
			n.SetEngines(now, testModel, engines)
		}
		requireEqual(t, n.engines[0].queueWait(now), naive.wait(now), "queue")
	}
}

func TestOwnerMovesOnlyWhatItsMemberHad(t *testing.T) {
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
	requireEqual(t, Owner("engine", nil), -1, "owner among nobody")
}
