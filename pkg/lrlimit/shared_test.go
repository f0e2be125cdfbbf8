package lrlimit

import (
	"fmt"
	"testing"
	"time"
)

const (
	sharedRate           = 1000.0
	sharedBurst          = 1000.0
	sharedTick           = 10 * time.Millisecond
	sharedExchangePeriod = 100 * time.Millisecond
)

// sharedFleet is a set of limiters that report to each other what they have used.
type sharedFleet struct {
	now       time.Time
	instances []*SharedLimiter
	// partitionedAt is the number of first instances that are partitioned from the others, or zero without a partition.
	partitionedAt int
	admitted      float64
}

func newSharedFleet(instances int) *sharedFleet {
	f := &sharedFleet{now: time.Unix(1000, 0)}
	for range instances {
		f.instances = append(f.instances, NewSharedLimiter(true))
	}
	return f
}

func (f *sharedFleet) reaches(a, b int) bool {
	return f.partitionedAt == 0 || (a < f.partitionedAt) == (b < f.partitionedAt)
}

func (f *sharedFleet) exchange() {
	for n, instance := range f.instances {
		reached, used := 0, map[string]float64{}
		for p, peer := range f.instances {
			if !f.reaches(n, p) {
				continue
			}
			reached++
			if p != n {
				used["school"] += peer.Used()["school"]
			}
		}
		instance.ApplyUsage(f.now, fmt.Sprint("side of ", f.partitionedAt), used)
		instance.SetShare(f.now, float64(reached)/float64(len(f.instances)))
	}
}

// run offers many requests to all instances and returns the admitted tokens.
func (f *sharedFleet) run(duration time.Duration, tokens float64) float64 {
	before := f.admitted
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(sharedTick) {
		if f.now.UnixMilli()%sharedExchangePeriod.Milliseconds() == 0 {
			f.exchange()
		}
		for _, n := range f.instances {
			if _, ok := n.Reserve(f.now, "school", sharedRate, sharedBurst, tokens); ok {
				f.admitted += tokens
			}
		}
	}
	return f.admitted - before
}

// TestSharedLimitsAnAccountOnAllInstances overloads all instances at once with requests of one account.
func TestSharedLimitsAnAccountOnAllInstances(t *testing.T) {
	f := newSharedFleet(8)
	f.exchange()
	const seconds = 8
	admitted := f.run(seconds*time.Second, 10)
	bound := (sharedRate*seconds + sharedBurst) * 1.1
	requireTrue(t, admitted <= bound+sharedBurst, "admitted %.0f, bound %.0f", admitted, bound)
	requireTrue(t, admitted >= sharedRate*seconds, "admitted %.0f of %.0f", admitted, sharedRate*seconds)
}

// TestSharedKeepsTheRateThroughAPartition partitions three instances of eight from the others and heals the partition.
func TestSharedKeepsTheRateThroughAPartition(t *testing.T) {
	f := newSharedFleet(8)
	f.exchange()
	f.run(8*time.Second, 10)
	f.partitionedAt = 3
	const seconds = 8
	during := f.run(seconds*time.Second, 10)
	bound := (sharedRate*seconds + sharedBurst) * 1.1
	requireTrue(t, during <= bound, "during the partition %.0f, bound %.0f", during, bound)
	f.partitionedAt = 0
	after := f.run(seconds*time.Second, 10)
	requireTrue(t, after <= bound, "after the partition %.0f, bound %.0f", after, bound)
	requireTrue(t, after >= sharedRate*seconds*0.9, "after the partition %.0f of %.0f", after, sharedRate*seconds)
}

// TestSharedStartsWithPeerLevels starts a new instance while the account is out of tokens. It must not admit a whole burst.
func TestSharedStartsWithPeerLevels(t *testing.T) {
	f := newSharedFleet(2)
	f.exchange()
	f.run(4*time.Second, 10)
	fresh := NewSharedLimiter(false)
	fresh.ApplyLevels(f.now, f.instances[0].Levels(f.now))
	_, ok := fresh.Reserve(f.now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, !ok, "a fresh instance admits a whole burst")
}

// TestSharedLevelsCoverTheWholeFleet applies the levels of an instance that reaches half of the others, before any request.
func TestSharedLevelsCoverTheWholeFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	sender := NewSharedLimiter(true)
	_, _ = sender.Reserve(now, "school", sharedRate, sharedBurst, 400)
	sender.SetShare(now, 0.5)
	fresh := NewSharedLimiter(false)
	fresh.SetStartupShare(now, 0.25, true)
	fresh.SetStartupShare(now, 1, false)
	fresh.ApplyLevels(now, sender.Levels(now))
	fresh.SetShare(now, 0.5)
	_, ok := fresh.Reserve(now, "school", sharedRate, sharedBurst, 301)
	requireTrue(t, !ok, "more than half of what is left is admitted")
	_, ok = fresh.Reserve(now, "school", sharedRate, sharedBurst, 299)
	requireTrue(t, ok, "half of what is left is refused")
}

// TestSharedStartsWithItsShare checks that what is left stays as it is when the share grows at the start.
func TestSharedStartsWithItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedLimiter(false)
	s.SetStartupShare(now, 0.1, true)
	_, ok := s.Reserve(now, "school", sharedRate, sharedBurst, 60)
	requireTrue(t, ok, "the instance's own share is refused")
	s.ApplyUsage(now, "others", map[string]float64{"school": 100})
	s.ApplyUsage(now, "others", map[string]float64{"school": 400})
	s.SetStartupShare(now, 1, false)
	_, ok = s.Reserve(now, "school", sharedRate, sharedBurst, 60)
	requireTrue(t, !ok, "the shares of others are admitted")
	_, ok = s.Reserve(now.Add(time.Second/2), "school", sharedRate, sharedBurst, 500)
	requireTrue(t, ok, "the bucket is not refilled at the whole rate")
}

// TestSharedReturnsTheWait checks the wait of a refusal.
func TestSharedReturnsTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedLimiter(true)
	_, ok := s.Reserve(now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, ok, "the first burst is refused")
	verdict, ok := s.Reserve(now, "school", sharedRate, sharedBurst, sharedRate/2)
	requireTrue(t, !ok && verdict.Wait == 500*time.Millisecond, "wait %s", verdict.Wait)
	s.Return("school", sharedBurst)
	_, ok = s.Reserve(now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, ok, "refunded tokens cannot be used")
}

// TestSharedAppliesLoweredLimits lowers the limits of a busy account.
func TestSharedAppliesLoweredLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedLimiter(true)
	_, _ = s.Reserve(now, "school", sharedRate, sharedBurst, 1)
	_, ok := s.Reserve(now, "school", 10, 10, 11)
	requireTrue(t, ok, "a request above the burst runs on a full bucket")
	_, ok = s.Reserve(now, "school", 10, 10, 1)
	requireTrue(t, !ok, "the lowered burst is not applied")
}

func requireTrue(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
