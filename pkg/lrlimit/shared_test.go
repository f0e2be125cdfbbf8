package lrlimit

import (
	"fmt"
	"testing"
	"time"
)

const (
	sharedRate  = 1000.0
	sharedBurst = 1000.0
	sharedTick  = 10 * time.Millisecond
	sharedShare = 100 * time.Millisecond
)

// sharedFleet is a set of limiters that tell one another what they have used.
type sharedFleet struct {
	now   time.Time
	nodes []*Shared
	// cut separates the first nodes from the others.
	cut      int
	admitted float64
}

func newSharedFleet(nodes int) *sharedFleet {
	f := &sharedFleet{now: time.Unix(1000, 0)}
	for range nodes {
		f.nodes = append(f.nodes, NewShared(true))
	}
	return f
}

func (f *sharedFleet) reaches(a, b int) bool { return f.cut == 0 || (a < f.cut) == (b < f.cut) }

func (f *sharedFleet) exchange() {
	for n, node := range f.nodes {
		reached, used := 0, map[string]float64{}
		for p, peer := range f.nodes {
			if !f.reaches(n, p) {
				continue
			}
			reached++
			if p != n {
				used["school"] += peer.Used()["school"]
			}
		}
		node.Heard(f.now, fmt.Sprint("side of ", f.cut), used)
		node.SetShare(f.now, float64(reached)/float64(len(f.nodes)))
	}
}

// run offers many requests to all nodes and returns what is admitted.
func (f *sharedFleet) run(duration time.Duration, tokens float64) float64 {
	before := f.admitted
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(sharedTick) {
		if f.now.UnixMilli()%sharedShare.Milliseconds() == 0 {
			f.exchange()
		}
		for _, n := range f.nodes {
			if _, ok := n.Reserve(f.now, "school", sharedRate, sharedBurst, tokens); ok {
				f.admitted += tokens
			}
		}
	}
	return f.admitted - before
}

// TestSharedKeepsTheRateOfAnAccountThatFloods answers a hot account on all instances at once.
func TestSharedKeepsTheRateOfAnAccountThatFloods(t *testing.T) {
	f := newSharedFleet(8)
	f.exchange()
	const seconds = 8
	admitted := f.run(seconds*time.Second, 10)
	bound := (sharedRate*seconds + sharedBurst) * 1.1
	requireTrue(t, admitted <= bound+sharedBurst, "admitted %.0f, bound %.0f", admitted, bound)
	requireTrue(t, admitted >= sharedRate*seconds, "admitted %.0f of %.0f", admitted, sharedRate*seconds)
}

// TestSharedKeepsTheRateThroughACut cuts three instances of eight off and heals the cut.
func TestSharedKeepsTheRateThroughACut(t *testing.T) {
	f := newSharedFleet(8)
	f.exchange()
	f.run(8*time.Second, 10)
	f.cut = 3
	const seconds = 8
	during := f.run(seconds*time.Second, 10)
	bound := (sharedRate*seconds + sharedBurst) * 1.1
	requireTrue(t, during <= bound, "during the cut %.0f, bound %.0f", during, bound)
	f.cut = 0
	after := f.run(seconds*time.Second, 10)
	requireTrue(t, after <= bound, "after the cut %.0f, bound %.0f", after, bound)
	requireTrue(t, after >= sharedRate*seconds*0.9, "after the cut %.0f of %.0f", after, sharedRate*seconds)
}

// TestSharedStartsWithTheLevelOfOthers restarts an instance of an account that is out of tokens.
func TestSharedStartsWithTheLevelOfOthers(t *testing.T) {
	f := newSharedFleet(2)
	f.exchange()
	f.run(4*time.Second, 10)
	fresh := NewShared(false)
	fresh.Adopt(f.now, f.nodes[0].Levels(f.now))
	_, ok := fresh.Reserve(f.now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, !ok, "a fresh instance admits a whole burst")
}

// TestSharedTellsLevelsOfTheWhole takes levels over from an instance that reaches half of the others, before any request.
func TestSharedTellsLevelsOfTheWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	teller := NewShared(true)
	_, _ = teller.Reserve(now, "school", sharedRate, sharedBurst, 400)
	teller.SetShare(now, 0.5)
	fresh := NewShared(false)
	fresh.StartWith(now, 0.25, true)
	fresh.StartWith(now, 1, false)
	fresh.Adopt(now, teller.Levels(now))
	fresh.SetShare(now, 0.5)
	_, ok := fresh.Reserve(now, "school", sharedRate, sharedBurst, 301)
	requireTrue(t, !ok, "more than half of what is left is admitted")
	_, ok = fresh.Reserve(now, "school", sharedRate, sharedBurst, 299)
	requireTrue(t, ok, "half of what is left is refused")
}

// TestSharedStartsWithItsPart keeps what is left as it is when the share grows at the start.
func TestSharedStartsWithItsPart(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShared(false)
	s.StartWith(now, 0.1, true)
	_, ok := s.Reserve(now, "school", sharedRate, sharedBurst, 60)
	requireTrue(t, ok, "the own part is refused")
	s.Heard(now, "others", map[string]float64{"school": 100})
	s.Heard(now, "others", map[string]float64{"school": 400})
	s.StartWith(now, 1, false)
	_, ok = s.Reserve(now, "school", sharedRate, sharedBurst, 60)
	requireTrue(t, !ok, "the parts of others are admitted")
	_, ok = s.Reserve(now.Add(time.Second/2), "school", sharedRate, sharedBurst, 500)
	requireTrue(t, ok, "the whole rate does not come in")
}

// TestSharedTellsWhenToComeBack reads the wait of a refusal.
func TestSharedTellsWhenToComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShared(true)
	_, ok := s.Reserve(now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, ok, "the first burst is refused")
	verdict, ok := s.Reserve(now, "school", sharedRate, sharedBurst, sharedRate/2)
	requireTrue(t, !ok && verdict.Wait == 500*time.Millisecond, "wait %s", verdict.Wait)
	s.Return("school", sharedBurst)
	_, ok = s.Reserve(now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, ok, "what was given back cannot be used")
}

// TestSharedKeepsALoweredLimit lowers the limits of a busy account.
func TestSharedKeepsALoweredLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShared(true)
	_, _ = s.Reserve(now, "school", sharedRate, sharedBurst, 1)
	_, ok := s.Reserve(now, "school", 10, 10, 11)
	requireTrue(t, ok, "a request above the burst runs on a full bucket")
	_, ok = s.Reserve(now, "school", 10, 10, 1)
	requireTrue(t, !ok, "the lowered burst does not hold")
}

func requireTrue(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
