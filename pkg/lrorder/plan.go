package lrorder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// A Kind is the type of an order.
type Kind string

const (
	// KindLoad loads a version of a model.
	KindLoad Kind = "load"
	// KindAdapter loads an adapter.
	KindAdapter Kind = "adapter"
)

// replacingDivisor is the number of engines of a model for each engine that may change its version at the same time.
const replacingDivisor = 4

// A Model is a model at the version that the configuration requires, with its adapters.
type Model struct {
	Name    string
	Version string
	// DesiredSince is when the version was first seen to be desired.
	DesiredSince time.Time
	// ServedVersion is the version to which requests are sent at present.
	ServedVersion string
	Adapters      []string
}

// An Engine is the known state of one engine.
type Engine struct {
	Name string
	// Models are the names of the models that the engine shall serve.
	Models []string
	// Versions maps each loaded model to its version.
	Versions map[string]string
	Adapters []string
	// IsOwn means that this holder sends the orders to the engine.
	IsOwn bool
	// Reachable engines have answered recently and are not leaving.
	Reachable bool
	// ChangedAt is when the engine was first seen with its present versions.
	ChangedAt time.Time
}

// An Order is a command to an engine. It states the desired version or adapter, so that it is idempotent.
type Order struct {
	Engine  string
	Kind    Kind
	Model   string
	Version string
	Adapter string
}

// Next returns the next order of this holder and reports whether there is one. A holder sends one order at a time. An
// engine with another version is updated only while other engines serve the model, and only when the previous change is
// older than the settle time, after which every instance knows of it.
func Next(now time.Time, desired []Model, engines []Engine, settle time.Duration) (Order, bool) {
	for _, m := range desired {
		order, ok := nextForModel(now, m, engines, settle)
		if ok {
			return order, true
		}
	}
	return Order{}, false
}

func nextForModel(now time.Time, model Model, engines []Engine, settle time.Duration) (Order, bool) {
	serving := servingEngines(model, engines)
	for _, e := range serving {
		if !e.IsOwn {
			continue
		}
		_, loaded := e.Versions[model.Name]
		if !loaded {
			return Order{Engine: e.Name, Kind: KindLoad, Model: model.Name, Version: model.Version}, true
		}
		adapter, missing := missingAdapter(model, e)
		if missing {
			return Order{Engine: e.Name, Kind: KindAdapter, Model: model.Name, Adapter: adapter}, true
		}
	}
	return nextReplacement(now, model, serving, settle)
}

// nextReplacement chooses among the engines that serve another version. All holders sort them in the same order and only
// the first ones may be updated, so that holders with equal knowledge never update too many at once.
func nextReplacement(now time.Time, model Model, serving []Engine, settle time.Duration) (Order, bool) {
	if !isAgreed(now, model, serving, settle) {
		return Order{}, false
	}
	outdated := replaceable(model, serving)
	allowed := max(1, len(serving)/replacingDivisor) - countUnsettled(now, model, serving, settle)
	for _, e := range outdated[:max(0, min(allowed, len(outdated)))] {
		if e.IsOwn {
			return Order{Engine: e.Name, Kind: KindLoad, Model: model.Name, Version: model.Version}, true
		}
	}
	return Order{}, false
}

// isAgreed reports whether all instances are certain to send requests to the same version. This takes the settle time
// when the engines serve several versions other than the desired one.
func isAgreed(now time.Time, model Model, serving []Engine, settle time.Duration) bool {
	var versions []string
	changedAt := model.DesiredSince
	for _, e := range serving {
		version, loaded := e.Versions[model.Name]
		if loaded && version != model.Version && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
		if e.ChangedAt.After(changedAt) {
			changedAt = e.ChangedAt
		}
	}
	return len(versions) < 2 || now.Sub(changedAt) >= settle
}

// replaceable returns the engines that may be updated to the desired version, in order: those to which no requests are
// sent come first. While requests are sent to another version, the last engine in the order keeps it.
func replaceable(model Model, serving []Engine) []Engine {
	outdated := slices.DeleteFunc(slices.Clone(serving), func(e Engine) bool {
		version, loaded := e.Versions[model.Name]
		return !loaded || version == model.Version
	})
	slices.SortFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(isServed(model, a), isServed(model, b)), cmp.Compare(hash(model, a), hash(model, b)))
	})
	last := len(outdated) - 1
	if last >= 0 && len(serving) > 1 && isServed(model, outdated[last]) == 1 {
		outdated = outdated[:last]
	}
	return outdated
}

// isServed returns 1 when requests are sent to the engine's version, otherwise 0.
func isServed(model Model, engine Engine) int {
	if engine.Versions[model.Name] == model.ServedVersion {
		return 1
	}
	return 0
}

// countUnsettled returns the number of engines that came to the desired version so recently that some instances may not
// know of it.
func countUnsettled(now time.Time, model Model, serving []Engine, settle time.Duration) int {
	count := 0
	for _, e := range serving {
		if e.Versions[model.Name] == model.Version && now.Sub(e.ChangedAt) < settle {
			count++
		}
	}
	return count
}

func servingEngines(model Model, engines []Engine) []Engine {
	var serving []Engine
	for _, e := range engines {
		if e.Reachable && slices.Contains(e.Models, model.Name) {
			serving = append(serving, e)
		}
	}
	return serving
}

func missingAdapter(model Model, engine Engine) (string, bool) {
	for _, a := range model.Adapters {
		if a != "" && !slices.Contains(engine.Adapters, a) {
			return a, true
		}
	}
	return "", false
}

func hash(model Model, engine Engine) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(model.Name + "\x00" + model.Version + "\x00" + engine.Name))
	return sum.Sum64()
}
