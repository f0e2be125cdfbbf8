package lrfleet

import (
	"testing"
	"time"
)

func usedTally(used float64) tally {
	t := newTally()
	t.used["school"], t.reached = used, 1
	return t
}

// TestSumOfUsedTokensNeverJumps lets senders join, restart and come back after a cut.
func TestSumOfUsedTokensNeverJumps(t *testing.T) {
	now := time.Unix(1000, 0)
	sums := newTallies()
	steps := []struct {
		name, sender, process string
		after                 time.Duration
		used, want            float64
	}{
		{"the first word of a sender counts nothing", "a", "1", 0, 500, 0},
		{"further use counts", "a", "1", SharePeriod, 520, 20},
		{"another sender joins", "b", "1", SharePeriod, 300, 20},
		{"both count", "b", "1", SharePeriod, 310, 30},
		{"a restart takes nothing back", "a", "2", SharePeriod, 5, 30},
		{"use after the restart counts", "a", "2", SharePeriod, 15, 40},
		{"use during a cut is not charged", "b", "1", 2 * reachableFor, 900, 40},
		{"use after the cut counts", "b", "1", SharePeriod, 901, 41},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		sums.set(now, s.sender, s.process, usedTally(s.used))
		requireEqual(t, s.name, sums.sum("").used["school"], s.want)
	}
}

func TestSumLeavesOutTheOneThatIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	sums := newTallies()
	sums.set(now, "a", "1", usedTally(0))
	sums.set(now, "b", "1", usedTally(0))
	sums.set(now, "a", "1", usedTally(10))
	sums.set(now, "b", "1", usedTally(7))
	requireEqual(t, "for a", sums.sum("a").used["school"], 7)
	requireEqual(t, "for b", sums.sum("b").used["school"], 10)
	requireEqual(t, "reached", sums.sum("a").reached, 1)
}

func TestSilentSenderIsOutOfReach(t *testing.T) {
	now := time.Unix(1000, 0)
	sums := newTallies()
	sums.set(now, "a", "1", usedTally(0))
	sums.set(now, "a", "1", usedTally(10))
	sums.expire(now.Add(2*reachableFor), reachableFor)
	requireEqual(t, "reached", sums.sum("").reached, 0)
	requireEqual(t, "used", sums.sum("").used["school"], 10)
}

func requireEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// TestReportsHeldUpByACutChargeNothing hears at the end of a cut first what was sent at its beginning and held up on the way, then the
// present. What the sender used meanwhile came from its own part of the allowances.
func TestReportsHeldUpByACutChargeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	sums := newTallies()
	steps := []struct {
		name   string
		after  time.Duration
		uptime time.Duration
		used   float64
		want   float64
	}{
		{"first word", 0, time.Minute, 500, 0},
		{"use counts", SharePeriod, time.Minute + SharePeriod, 520, 20},
		{"held up for six seconds", 6 * time.Second, time.Minute + 2*SharePeriod, 525, 20},
		{"held up as well", time.Millisecond, time.Minute + 3*SharePeriod, 527, 22},
		{"present", 5 * time.Millisecond, time.Minute + 6*time.Second + SharePeriod, 900, 22},
		{"use counts again", SharePeriod, time.Minute + 6*time.Second + 2*SharePeriod, 910, 32},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		sum := usedTally(s.used)
		sum.uptime = s.uptime
		sums.set(now, "c", "1", sum)
		requireEqual(t, s.name, sums.sum("").used["school"], s.want)
	}
}
