package lrlimit

import (
	"fmt"
	"testing"
	"time"
)

// TestReportedDemandIsBounded guards against reports that grow with the number of accounts, and against busy accounts that are crowded out of
// them by many with little traffic.
func TestReportedDemandIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedLimiter(true)
	for n := range 16_000 {
		_, _ = s.Reserve(now, fmt.Sprint("quiet", n), sharedRate, sharedBurst, 1)
	}
	for n := range 4 {
		_, _ = s.Reserve(now, fmt.Sprint("busy", n), sharedRate, sharedBurst, 500)
	}
	demand := s.Demand(now)
	requireTrue(t, len(demand) == maxDemands, "%d accounts are reported", len(demand))
	for n := range 4 {
		requireTrue(t, demand[fmt.Sprint("busy", n)].Rate > 0, "busy account %d is not reported", n)
	}
	later := now.Add(time.Minute)
	requireTrue(t, len(s.Demand(later)) == 0 && len(s.inUse) == 0, "%d idle accounts are kept in use", len(s.inUse))
}

// TestAccountBeginsWithWhatOthersLeft guards against instances that admit a whole burst of an account which others have used up, because
// they meet it for the first time.
func TestAccountBeginsWithWhatOthersLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedLimiter(true)
	used := 0.0
	for range 20 {
		s.ApplyDemand(now, 10, 600*time.Millisecond, map[string]Demand{"school": {Rate: 3 * sharedRate, Squares: 3 * sharedRate}})
		s.ApplyUsage(now, "relay", map[string]float64{"school": used})
		used += sharedRate / 10
		now = now.Add(100 * time.Millisecond)
	}
	_, known := s.Levels(now)["school"]
	requireTrue(t, !known, "a level is reported of an account that only others have used")
	_, ok := s.Reserve(now, "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, !ok, "a whole burst is admitted")
	s.ApplyDemand(now.Add(time.Minute), 10, 600*time.Millisecond, nil)
	_, ok = s.Reserve(now.Add(time.Minute), "school", sharedRate, sharedBurst, sharedBurst)
	requireTrue(t, ok, "the refilled burst is refused")
}

// TestForgottenAccountsOfOthersAreDropped guards against memory that grows with accounts which only others use.
func TestForgottenAccountsOfOthersAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedLimiter(true)
	for n := range 1000 {
		s.ApplyDemand(now.Add(time.Duration(n)*time.Minute), 10, time.Second, map[string]Demand{fmt.Sprint("account", n): {Rate: 100, Squares: 100}})
	}
	for n := range 3 {
		s.ApplyDemand(now.Add(time.Duration(1000+n)*time.Minute), 10, time.Second, nil)
	}
	requireTrue(t, len(s.accounts) == 0, "%d accounts are kept", len(s.accounts))
}

// TestSmallRequestsNeedTheLevelAlone guards against payments that are refused as often as long prompts while an account exceeds its rate: they
// cost a few tokens, and refusing them saves nothing.
func TestSmallRequestsNeedTheLevelAlone(t *testing.T) {
	f := newSurgeFleet(5, 16)
	f.run(4*time.Second, 0.33)
	f.run(4*time.Second, 4)
	refused := 0
	for n := range 400 {
		f.run(surgeTick, 4)
		_, ok := f.instances[n%16].Reserve(f.now, surgeAccount, surgeRate, surgeBurst, 200)
		if !ok {
			refused++
		}
	}
	requireTrue(t, refused <= 4, "%d of 400 small requests are refused", refused)
	requireTrue(t, f.most <= platformBound, "%.0f admitted within a window, %.0f are allowed", f.most, platformBound)
}
