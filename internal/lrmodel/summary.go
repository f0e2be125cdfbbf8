package lrmodel

import (
	"slices"
	"time"
)

const tailQuantile = 0.99

// Summary aggregates the requests of a window of a run.
type Summary struct {
	Requests int
	// HitRate is the share of the prompt tokens that was cached.
	HitRate float64
	// TailFirstToken is the 99th percentile of the time to the first token.
	TailFirstToken time.Duration
	// MeanFirstToken is the mean time to the first token.
	MeanFirstToken time.Duration
	// Wasted is the share of the prompt tokens that was recomputed although some engine had them cached.
	Wasted float64
	// WorstAccountTail is the largest 99th percentile of the time to the first token of any account.
	WorstAccountTail time.Duration
}

// A Window reports whether a request that arrived at the time is counted.
type Window func(at time.Duration) bool

// Between returns the Window from one time to the other.
func Between(from, to time.Duration) Window {
	return func(at time.Duration) bool { return at >= from && at < to }
}

// AfterEach returns the Window of the given length after each multiple of the period.
func AfterEach(period, length time.Duration) Window {
	return func(at time.Duration) bool { return at >= period && at%period < length }
}

// Summarize aggregates the requests in the window.
func Summarize(served []ServedRequest, window Window) Summary {
	var summary Summary
	var tokens, cached, wasted int
	var times []time.Duration
	byAccount := map[int][]time.Duration{}
	var total time.Duration
	for _, s := range served {
		if !window(s.Arrival.At) {
			continue
		}
		tokens += s.Arrival.Tokens
		cached += s.Cached
		wasted += max(0, s.BestCached-s.Cached)
		total += s.FirstToken
		times = append(times, s.FirstToken)
		byAccount[s.Arrival.Account] = append(byAccount[s.Arrival.Account], s.FirstToken)
	}
	summary.Requests = len(times)
	if len(times) == 0 {
		return summary
	}
	summary.HitRate = float64(cached) / float64(tokens)
	summary.Wasted = float64(wasted) / float64(tokens)
	summary.MeanFirstToken = total / time.Duration(len(times))
	summary.TailFirstToken = quantile(times, tailQuantile)
	for _, account := range byAccount {
		summary.WorstAccountTail = max(summary.WorstAccountTail, quantile(account, tailQuantile))
	}
	return summary
}

// quantile returns the smallest time that the given fraction of the times doesn't exceed.
func quantile(times []time.Duration, fraction float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(fraction*float64(len(times))))]
}
