// Package lrrollout decides in which order engines are brought to new weights.
package lrrollout

import (
	"cmp"
	"slices"
	"time"
)

// An Engine is one engine as the holder of the rollout sees it.
type Engine struct {
	ID string
	// Versions maps each model of the engine to the version of its weights.
	Versions map[string]int64
	// Running is the number of requests at the engine.
	Running int
	// OutdatedFor is how long newer weights have been wanted.
	OutdatedFor time.Duration
}

// A Step is one order that is due.
type Step struct {
	Engine  string
	Model   string
	Version int64
	// IsLate tells that the engine must not wait for the requests that it runs.
	IsLate bool
}

// Options bound how many engines change at once.
type Options struct {
	// MinAtOnce is the number of engines that may always change at the same time.
	MinAtOnce int
	// Share is the part of a model's engines that may change at the same time.
	Share float64
	// LateShare is that part once the oldest weights have been outdated for LateAfter.
	LateShare float64
	LateAfter time.Duration
}

// share returns the part of the engines that may change at the same time.
func (o Options) share(oldest time.Duration) float64 {
	if o.LateAfter > 0 && oldest > o.LateAfter {
		return max(o.Share, o.LateShare)
	}
	return o.Share
}

// Next returns the orders to begin now: engines with the oldest weights first, and among them those with the least
// work. Engines that are changing already are named by busy.
func Next(options Options, engines []Engine, wanted map[string]int64, busy map[string]bool) []Step {
	steps := make([]Step, 0, len(engines))
	for _, model := range sortedKeys(wanted) {
		steps = append(steps, nextOfModel(options, engines, model, wanted[model], busy)...)
	}
	return steps
}

func nextOfModel(options Options, engines []Engine, model string, wanted int64, busy map[string]bool) []Step {
	var old []Engine
	total, changing := 0, 0
	oldest := time.Duration(0)
	for _, e := range engines {
		version, ok := e.Versions[model]
		if !ok {
			continue
		}
		total++
		if version < wanted {
			oldest = max(oldest, e.OutdatedFor)
		}
		switch {
		case busy[e.ID]:
			changing++
		case version < wanted:
			old = append(old, e)
		}
	}
	slices.SortFunc(old, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Versions[model], b.Versions[model]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	room := max(options.MinAtOnce, int(options.share(oldest)*float64(total))) - changing
	begin := old[:max(min(room, len(old)), 0)]
	steps := make([]Step, 0, len(begin))
	for _, e := range begin {
		steps = append(steps, Step{
			Engine: e.ID, Model: model, Version: wanted, IsLate: options.LateAfter > 0 && e.OutdatedFor > options.LateAfter,
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
