package lrfleet

import (
	"testing"
	"time"
)

func usedTotals(used float64) totals {
	t := newTotals()
	t.used["school"], t.reached = used, 1
	return t
}

// TestSumOfUsedTokensNeverJumps has senders join, restart and return after a partition.
func TestSumOfUsedTokensNeverJumps(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := newReportSet()
	steps := []struct {
		name, sender, process string
		after                 time.Duration
		used, want            float64
	}{
		{"the first report of a sender counts nothing", "a", "1", 0, 500, 0},
		{"further use counts", "a", "1", SharePeriod, 520, 20},
		{"another sender joins", "b", "1", SharePeriod, 300, 20},
		{"both count", "b", "1", SharePeriod, 310, 30},
		{"a restart subtracts nothing", "a", "2", SharePeriod, 5, 30},
		{"use after the restart counts", "a", "2", SharePeriod, 15, 40},
		{"use during a partition is not charged", "b", "1", 2 * unreachableAfter, 900, 40},
		{"use after the partition counts", "b", "1", SharePeriod, 901, 41},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		reports.set(now, s.sender, s.process, usedTotals(s.used))
		requireEqual(t, s.name, reports.sum("").used["school"], s.want)
	}
}

func TestSumExcludesReceiver(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := newReportSet()
	reports.set(now, "a", "1", usedTotals(0))
	reports.set(now, "b", "1", usedTotals(0))
	reports.set(now, "a", "1", usedTotals(10))
	reports.set(now, "b", "1", usedTotals(7))
	requireEqual(t, "for a", reports.sum("a").used["school"], 7)
	requireEqual(t, "for b", reports.sum("b").used["school"], 10)
	requireEqual(t, "reached", reports.sum("a").reached, 1)
}

func TestSilentSenderCountsAsUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := newReportSet()
	reports.set(now, "a", "1", usedTotals(0))
	reports.set(now, "a", "1", usedTotals(10))
	reports.expire(now.Add(2*unreachableAfter), unreachableAfter)
	requireEqual(t, "reached", reports.sum("").reached, 0)
	requireEqual(t, "used", reports.sum("").used["school"], 10)
}

func requireEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// TestReportsDelayedByPartitionChargeNothing delays reports from the beginning of a partition until its end, followed by a current one.
// What the sender used during the partition came from its own share of the allowances, so it must not be charged.
func TestReportsDelayedByPartitionChargeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := newReportSet()
	steps := []struct {
		name   string
		after  time.Duration
		uptime time.Duration
		used   float64
		want   float64
	}{
		{"first report", 0, time.Minute, 500, 0},
		{"use counts", SharePeriod, time.Minute + SharePeriod, 520, 20},
		{"delayed by six seconds", 6 * time.Second, time.Minute + 2*SharePeriod, 525, 20},
		{"delayed as well", time.Millisecond, time.Minute + 3*SharePeriod, 527, 22},
		{"present", 5 * time.Millisecond, time.Minute + 6*time.Second + SharePeriod, 900, 22},
		{"use counts again", SharePeriod, time.Minute + 6*time.Second + 2*SharePeriod, 910, 32},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		sum := usedTotals(s.used)
		sum.uptime = s.uptime
		reports.set(now, "c", "1", sum)
		requireEqual(t, s.name, reports.sum("").used["school"], s.want)
	}
}
