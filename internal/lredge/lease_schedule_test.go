package lredge

import (
	"fmt"
	"testing"
	"time"
)

// countChecks counts how often all instances read the lease during a period in which nobody holds it, and returns when the instance of
// the rank reads it for the second time.
func countChecks(instances int, length time.Duration, rank int) (count int, second time.Duration) {
	start := time.Unix(1000, 0)
	states := make([]leaseSchedule, instances)
	ownChecks := 0
	for now := start; now.Sub(start) < length; now = now.Add(leaseCheckInterval) {
		for r := range states {
			c := leaseCandidate{rank: r, delay: rankDelay(r, 500*time.Millisecond), isStandby: r < 3}
			if !states[r].isDue(now, c) {
				continue
			}
			count++
			if r == rank {
				ownChecks++
			}
			if r == rank && ownChecks == 2 {
				second = now.Sub(start)
			}
		}
	}
	return count, second
}

// An outage of the platform for ten seconds, in which no instance can hold the lease, must not make all instances read it at a high rate.
func TestLeaseChecksAreBounded(t *testing.T) {
	cases := []struct{ instances, most int }{{8, 100}, {85, 400}, {420, 800}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			count, _ := countChecks(c.instances, 10*time.Second, 0)
			if count > c.most {
				t.Errorf("the lease is read %d times in ten seconds, want at most %d", count, c.most)
			}
		})
	}
}

// An instance takes over a lease when it finds it unchanged at its second read. That must happen soon even if the standby instances are
// gone.
func TestLeaseIsTakenOver(t *testing.T) {
	cases := []struct {
		rank   int
		within time.Duration
	}{{0, time.Second}, {2, time.Second}, {3, 3 * time.Second}, {6, 4 * time.Second}}
	for _, c := range cases {
		t.Run(fmt.Sprint("rank ", c.rank), func(t *testing.T) {
			_, second := countChecks(85, 20*time.Second, c.rank)
			if second == 0 || second > c.within {
				t.Errorf("second read after %s, want %s at most", second, c.within)
			}
		})
	}
}

// Each of the first instances must wait until an update from the one ranked before it would have arrived.
func TestRankDelayCoversPropagationDelay(t *testing.T) {
	const propagationDelay = 400 * time.Millisecond
	if rankDelay(0, propagationDelay) != 0 {
		t.Error("the first instance has a rank delay")
	}
	for rank := range 2 {
		if rankDelay(rank+1, propagationDelay)-rankDelay(rank, propagationDelay) < propagationDelay {
			t.Errorf("rank %d acts before an update from rank %d can have arrived", rank+1, rank)
		}
	}
	for rank := range 84 {
		if rankDelay(rank+1, propagationDelay) <= rankDelay(rank, propagationDelay) {
			t.Errorf("rank %d does not wait longer than rank %d", rank+1, rank)
		}
	}
}

// TestStandbyReadsAnExpiredLeaseAtOnce guards against a standby instance that finds out up to half a second late that a lease has expired: its
// former holder, back from an outage of its own, acquired it again before, and no engine got an order meanwhile.
func TestStandbyReadsAnExpiredLeaseAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	expiredAt := start.Add(leaseCheckInterval)
	for _, isStandby := range []bool{true, false} {
		t.Run(fmt.Sprint("standby ", isStandby), func(t *testing.T) {
			var s leaseSchedule
			c := leaseCandidate{rank: 1, delay: time.Minute, isStandby: isStandby}
			if s.isDue(start, c) != isStandby {
				t.Fatal("the first read")
			}
			c.expiredAt = expiredAt
			if s.isDue(start.Add(leaseCheckInterval), c) != isStandby {
				t.Errorf("a standby instance reads an expired lease at once, and others do not")
			}
			if s.isDue(start.Add(leaseCheckInterval+time.Millisecond), c) {
				t.Errorf("the lease is read twice for one expiry")
			}
		})
	}
}
