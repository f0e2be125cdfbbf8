// Package lrrollout decides in which order engines are updated to new weights.
//
// One instance holds the lease of the rollout and sends the orders: its holder.
package lrrollout

import (
	"cmp"
	"slices"
	"time"
)

// An Engine is the state of one engine as the holder of the rollout knows it.
type Engine struct {
	ID string
	// Versions maps each model of the engine to the version of its weights.
	Versions map[string]int64
	// Running is the number of requests in progress at the engine.
	Running int
	// OutdatedFor is how long weights newer than those of the engine have been desired.
	OutdatedFor time.Duration
}

// A Step is an order that is due.
type Step struct {
	Engine  string
	Model   string
	Version int64
	// SkipsDrain means that the engine must not wait for its requests in progress.
	SkipsDrain bool
}

// Options bound how many engines are updated at the same time.
type Options struct {
	// MinAtOnce is the number of engines that may always be updated at the same time.
	MinAtOnce int
	// Share is the share of a model's engines that may be updated at the same time.
	Share float64
	// LateShare is that share once the oldest weights have been outdated for longer than LateAfter. A zero LateAfter
	// disables it.
	LateShare float64
	LateAfter time.Duration
	// Deadline is how long after a newer version was named a request may still begin on outdated weights. Zero means that it is unknown.
	Deadline time.Duration
}

// share returns the share of the engines that may be updated at the same time.
func (o Options) share(oldest time.Duration) float64 {
	if o.LateAfter > 0 && oldest > o.LateAfter {
		return max(o.Share, o.LateShare)
	}
	return o.Share
}

// Next returns the orders to send now: engines with the oldest weights first, and among them those with the fewest
// requests. Engines in busy are being updated already.
func Next(options Options, conditions Conditions, engines []Engine, desired map[string]int64, busy map[string]bool) []Step {
	steps := make([]Step, 0, len(engines))
	for _, model := range sortedKeys(desired) {
		steps = append(steps, nextOfModel(options, conditions, engines, model, desired[model], busy)...)
	}
	return steps
}

func nextOfModel(options Options, conditions Conditions, engines []Engine, model string, desired int64, busy map[string]bool) []Step {
	var old []Engine
	total, changing, updated := 0, 0, 0
	oldest := time.Duration(0)
	for _, e := range engines {
		version, ok := e.Versions[model]
		if !ok {
			continue
		}
		total++
		if version < desired {
			oldest = max(oldest, e.OutdatedFor)
		} else {
			updated++
		}
		switch {
		case busy[e.ID]:
			changing++
		case version < desired:
			old = append(old, e)
		}
	}
	if options.isHeld(conditions, oldest, updated > 0) {
		return nil
	}
	slices.SortFunc(old, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Versions[model], b.Versions[model]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	allowed := max(options.MinAtOnce, int(options.share(oldest)*float64(total))) - changing
	begin := old[:max(min(allowed, len(old)), 0)]
	steps := make([]Step, 0, len(begin))
	for _, e := range begin {
		steps = append(steps, Step{
			Engine: e.ID, Model: model, Version: desired, SkipsDrain: options.LateAfter > 0 && e.OutdatedFor > options.LateAfter,
		})
	}
	return steps
}

func sortedKeys(values map[string]int64) []string {
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
