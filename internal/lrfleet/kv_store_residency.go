package lrfleet

import (
	"slices"
	"time"
)

const (
	// maxResidency bounds how long a block is assumed to stay in a store.
	maxResidency = 10 * time.Minute
	// usableShare is the share of its capacity that a store is assumed to fill before it evicts the least recently used block.
	usableShare = 0.85
	// maxInflowSamples bounds the samples of inflow that are kept. The oldest ones are merged.
	maxInflowSamples = 256
	// assumedResidency is the residency that is assumed for a store that already holds blocks, where no other instance reports one.
	assumedResidency = 6 * time.Second
)

// residencyEstimate estimates, from the probes of this instance, how long a KV store keeps a block that is not used. It is immutable.
type residencyEstimate struct {
	epoch int64
	next  uint64
	// baseResidency is the residency of the store when the probes began, and since is when that was.
	baseResidency time.Duration
	since         time.Time
	// inflow holds what was added to the store, oldest first, as far back as the store still holds it.
	inflow []inflowSample
	// inflowTokens is the sum of the tokens in inflow.
	inflowTokens int
}

// inflowSample is the number of tokens that were added up to one probe.
type inflowSample struct {
	at     time.Time
	tokens int
}

// withProbe returns the estimate after a further probe. When the probes begin, or begin again since the store has restarted, it starts
// from the residency that other instances report.
func (l residencyEstimate) withProbe(now time.Time, capacity int, probed KVProbeResult, known time.Duration) residencyEstimate {
	if l.since.IsZero() || l.epoch != probed.Epoch {
		return residencyEstimate{epoch: probed.Epoch, next: probed.Next, since: now, baseResidency: initialResidency(probed, known)}
	}
	l.next = probed.Next
	if probed.AddedTokens == 0 {
		return l
	}
	inflow := append(slices.Clone(l.inflow), inflowSample{at: now, tokens: probed.AddedTokens})
	l.inflowTokens += probed.AddedTokens
	for len(inflow) > 1 && l.inflowTokens-inflow[0].tokens >= capacity {
		l.inflowTokens -= inflow[0].tokens
		inflow = inflow[1:]
	}
	if len(inflow) > maxInflowSamples {
		inflow[1].tokens += inflow[0].tokens
		inflow = inflow[1:]
	}
	l.inflow = inflow
	return l
}

func initialResidency(probed KVProbeResult, known time.Duration) time.Duration {
	switch {
	case probed.AddedTokens == 0 && !probed.HasGap:
		return maxResidency
	case known > 0:
		return known
	default:
		return assumedResidency
	}
}

// residency returns how long a store of the capacity keeps a block that is not used, or zero where that is unknown. The least recently
// used block is evicted when as many tokens as the store holds have been added after it.
func (l residencyEstimate) residency(now time.Time, capacity int) time.Duration {
	switch {
	case capacity <= 0 || l.since.IsZero():
		return 0
	case l.inflowTokens >= capacity:
		return max(now.Sub(l.inflow[0].at), time.Millisecond)
	default:
		return min(l.baseResidency+now.Sub(l.since), maxResidency)
	}
}
