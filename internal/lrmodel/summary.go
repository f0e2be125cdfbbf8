package lrmodel

import (
	"slices"
	"time"
)

const tail = 0.99

// Summary sums up a part of a run.
type Summary struct {
	Requests int
	// HitRate is the part of the prompt tokens that was cached.
	HitRate float64
	// TailFirstToken is the 99th percentile of the time to the first token.
	TailFirstToken time.Duration
	// MeanFirstToken is the mean time to the first token.
	MeanFirstToken time.Duration
	// Wasted is the part of the prompt tokens that was recomputed although some engine held them.
	Wasted float64
	// WorstAccount is the largest 99th percentile of one account.
	WorstAccount time.Duration
}

// Summarize sums up the requests that arrived from the one time to the other.
func Summarize(served []Served, from, to time.Duration) Summary {
	var summary Summary
	var tokens, cached, wasted int
	var times []time.Duration
	byAccount := map[int][]time.Duration{}
	var total time.Duration
	for _, s := range served {
		if s.Arrival.At < from || s.Arrival.At >= to {
			continue
		}
		tokens += s.Arrival.Tokens
		cached += s.Cached
		wasted += max(0, s.Held-s.Cached)
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
	summary.TailFirstToken = quantile(times, tail)
	for _, account := range byAccount {
		summary.WorstAccount = max(summary.WorstAccount, quantile(account, tail))
	}
	return summary
}

// quantile returns the smallest time that the given part of the times doesn't exceed.
func quantile(times []time.Duration, part float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(part*float64(len(times))))]
}
