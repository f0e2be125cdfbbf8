package lrfleet

import (
	"testing"
	"time"
)

// TestResidencyFollowsInflow checks the residency that is estimated from the tokens added to a store.
func TestResidencyFollowsInflow(t *testing.T) {
	const capacity = 1_000_000
	cases := []struct {
		name     string
		first    KVProbeResult
		known    time.Duration
		perProbe int
		probes   int
		atLeast  time.Duration
		atMost   time.Duration
	}{
		{"a store that began empty and is not full", KVProbeResult{}, 0, 10_000, 50, maxResidency, maxResidency},
		{"a full store", KVProbeResult{}, 0, 50_000, 100, 19 * KVProbePeriod, 21 * KVProbePeriod},
		{"a store with contents when the probes begin", KVProbeResult{AddedTokens: 5}, 0, 1000, 10, assumedResidency, assumedResidency + 10*KVProbePeriod},
		{"a store whose residency others report", KVProbeResult{AddedTokens: 5}, 20 * time.Second, 1000, 10, 20 * time.Second, 20*time.Second + 10*KVProbePeriod},
		{"a store to which nothing more is added", KVProbeResult{AddedTokens: 5}, time.Second, 0, 1000, 1000 * KVProbePeriod, 1004 * KVProbePeriod},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			estimate := residencyEstimate{}.withProbe(now, capacity, c.first, c.known)
			for range c.probes {
				now = now.Add(KVProbePeriod)
				estimate = estimate.withProbe(now, capacity, KVProbeResult{AddedTokens: c.perProbe}, c.known)
			}
			got := estimate.residency(now, capacity)
			requireTrue(t, got >= c.atLeast && got <= c.atMost, "got %s, want %s to %s", got, c.atLeast, c.atMost)
			requireTrue(t, len(estimate.inflow) <= c.probes && estimate.inflowTokens < 2*capacity, "%d samples with %d tokens are kept", len(estimate.inflow), estimate.inflowTokens)
		})
	}
}

// TestBurstWithinCapacityKeepsResidency saves many blocks at once, as after a change of weights, to a store with enough free capacity. No
// block counts as evicted.
func TestBurstWithinCapacityKeepsResidency(t *testing.T) {
	const capacity = 1_000_000
	now := time.Unix(1000, 0)
	estimate := residencyEstimate{}.withProbe(now, capacity, KVProbeResult{}, 0)
	for range 3 {
		now = now.Add(KVProbePeriod)
		estimate = estimate.withProbe(now, capacity, KVProbeResult{AddedTokens: 200_000}, 0)
	}
	requireTrue(t, estimate.residency(now, capacity) == maxResidency, "residency of blocks is %s", estimate.residency(now, capacity))
}

// TestStoreRestartResetsResidency checks that the inflow from before a restart of the store no longer counts.
func TestStoreRestartResetsResidency(t *testing.T) {
	const capacity = 1_000_000
	now := time.Unix(1000, 0)
	estimate := residencyEstimate{}.withProbe(now, capacity, KVProbeResult{Epoch: 1}, 0)
	estimate = estimate.withProbe(now.Add(time.Second), capacity, KVProbeResult{Epoch: 1, AddedTokens: 2 * capacity}, 0)
	estimate = estimate.withProbe(now.Add(2*time.Second), capacity, KVProbeResult{Epoch: 2}, time.Second)
	requireTrue(t, estimate.residency(now.Add(3*time.Second), capacity) == maxResidency, "residency of an empty store is %s", estimate.residency(now.Add(3*time.Second), capacity))
}
