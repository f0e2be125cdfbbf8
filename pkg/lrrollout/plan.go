// Package lrrollout decides in which order engines are brought to new weights.
package lrrollout

import (
	"cmp"
	"slices"
)

// An Engine is one engine as the holder of the rollout sees it.
type Engine struct {
	ID      string
	Service string
	// Versions maps each model of the engine to the version of its weights.
	Versions map[string]int64
	// Running is the number of requests at the engine.
	Running int
}

// A Step is one order that is due.
type Step struct {
	Engine  string
	Model   string
	Version int64
}

// Options bound how many engines change at once.
type Options struct {
	// MinAtOnce is the number of engines that may always change at the same time.
	MinAtOnce int
	// Share is the part of a model's engines that may change at the same time.
	Share float64
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
	for _, e := range engines {
		version, ok := e.Versions[model]
		if !ok {
			continue
		}
		total++
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
	room := max(options.MinAtOnce, int(options.Share*float64(total))) - changing
	begin := old[:max(min(room, len(old)), 0)]
	steps := make([]Step, 0, len(begin))
	for _, e := range begin {
		steps = append(steps, Step{Engine: e.ID, Model: model, Version: wanted})
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
