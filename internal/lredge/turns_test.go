package lredge

import (
	"fmt"
	"testing"
	"time"
)

// looks counts the looks at the lease of all instances for a while in which nobody holds it, and tells when the instance of
// the rank looked for the second time.
func looks(instances int, length time.Duration, rank int) (count int, second time.Duration) {
	start := time.Unix(1000, 0)
	states := make([]leaseLooks, instances)
	own := 0
	for now := start; now.Sub(start) < length; now = now.Add(contendPause) {
		for r := range states {
			p := place{rank: r, delay: turnDelay(r, 500*time.Millisecond), standsBy: r < 3}
			if !states[r].isDue(now, p) {
				continue
			}
			count++
			if r == rank {
				own++
			}
			if r == rank && own == 2 {
				second = now.Sub(start)
			}
		}
	}
	return count, second
}

// TestLeaseIsLookedAtByFew lets the platform be away for ten seconds, in which no instance can hold the lease.
func TestLeaseIsLookedAtByFew(t *testing.T) {
	cases := []struct{ instances, most int }{{8, 100}, {85, 400}, {420, 800}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			count, _ := looks(c.instances, 10*time.Second, 0)
			if count > c.most {
				t.Errorf("%d looks in ten seconds, want at most %d", count, c.most)
			}
		})
	}
}

// TestLeaseIsTakenOver finds the lease unchanged at a second look, although the instances that stand by are gone.
func TestLeaseIsTakenOver(t *testing.T) {
	cases := []struct {
		rank   int
		within time.Duration
	}{{0, time.Second}, {2, time.Second}, {3, 3 * time.Second}, {6, 4 * time.Second}}
	for _, c := range cases {
		t.Run(fmt.Sprint("rank ", c.rank), func(t *testing.T) {
			_, second := looks(85, 20*time.Second, c.rank)
			if second == 0 || second > c.within {
				t.Errorf("second look after %s, want %s at most", second, c.within)
			}
		})
	}
}

// TestTurnsFollowTheNews keeps each of the first instances waiting until it would have heard of the one before it.
func TestTurnsFollowTheNews(t *testing.T) {
	const newsDelay = 400 * time.Millisecond
	if turnDelay(0, newsDelay) != 0 {
		t.Error("the first instance waits")
	}
	for rank := range 2 {
		if turnDelay(rank+1, newsDelay)-turnDelay(rank, newsDelay) < newsDelay {
			t.Errorf("rank %d goes before the news of rank %d have come", rank+1, rank)
		}
	}
	for rank := range 84 {
		if turnDelay(rank+1, newsDelay) <= turnDelay(rank, newsDelay) {
			t.Errorf("rank %d goes with rank %d", rank+1, rank)
		}
	}
}
