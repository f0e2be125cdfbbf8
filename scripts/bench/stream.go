package main

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	streamSeeds        = 5
	tailQuantile       = 0.99
	worstAccountTarget = 1.5
	// longestPrefill is the duration of the longest prefill of the trace in seconds. Engines don't preempt a prefill.
	longestPrefill = float64(maxMissing) / engineRate
)

// streamResult aggregates the phone-side requests (of phonePriority, above batch requests) of several seeds.
type streamResult struct {
	tail         float64
	worstAccount float64
	medianRatio  float64
	// othersTail excludes the account that floods.
	othersTail float64
}

// measureStream compares the fair queue with forwarding every request immediately, on the same trace.
func measureStream(context.Context) ([]figure, error) {
	naive := func() admission { return &fifo{} }
	ours := func() admission { return newFair(lrsettings.Default().Routing.EngineTokens) }
	disturbed := streamLoad{batch: true, flood: true}
	unlimited := streamLoad{batch: true, flood: true, unlimited: true}
	calm := playSeeds(streamLoad{}, ours, true)
	base, best := playSeeds(disturbed, naive, true), playSeeds(disturbed, ours, true)
	plainBase, plainBest := playSeeds(disturbed, naive, false), playSeeds(disturbed, ours, false)
	floodBase, floodBest := playSeeds(unlimited, naive, true), playSeeds(unlimited, ours, true)
	target := calm.tail + longestPrefill
	return []figure{
		{"phoneTailUndisturbed", calm.tail, math.NaN(), math.NaN(), "s"},
		{"phoneTail", best.tail, base.tail, target, "s"},
		{"phoneTailEnginesIgnorePriority", plainBest.tail, plainBase.tail, target, "s"},
		{"worstAccountTail", best.worstAccount, base.worstAccount, math.NaN(), "s"},
		{"worstToMedianAccount", best.medianRatio, base.medianRatio, worstAccountTarget, "ratio"},
		{"othersTailFloodUnlimited", floodBest.othersTail, floodBase.othersTail, target, "s"},
	}, nil
}

func playSeeds(load streamLoad, newAdmission func() admission, usesPriority bool) streamResult {
	byAccount := make([][]time.Duration, streamAccounts)
	for seed := range uint64(streamSeeds) {
		trace := newStreamTrace(seed, load)
		playStream(trace, newAdmission(), usesPriority)
		for _, r := range trace {
			if r.priority == phonePriority {
				byAccount[r.account] = append(byAccount[r.account], r.startsAt-r.arrivesAt)
			}
		}
	}
	tails := make([]float64, 0, streamAccounts)
	for _, waits := range byAccount {
		tails = append(tails, quantile(waits, tailQuantile))
	}
	slices.Sort(tails)
	worst := tails[len(tails)-1]
	return streamResult{
		tail: quantile(slices.Concat(byAccount...), tailQuantile), worstAccount: worst, medianRatio: worst / tails[len(tails)/2],
		othersTail: quantile(slices.Concat(slices.Delete(byAccount, floodAccount, floodAccount+1)...), tailQuantile),
	}
}

// quantile returns the quantile of the durations in seconds.
func quantile(durations []time.Duration, q float64) float64 {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(q*float64(len(sorted)-1))].Seconds()
}
