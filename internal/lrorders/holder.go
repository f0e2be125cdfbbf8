// Package lrorders sends orders to engines. An order is a command to an engine to load a version of its model's weights or an
// adapter, as the configuration requires.
//
// The engines of each availability zone are divided into shards. Each shard has at most one holder at a time, the instance
// that holds the shard's lease in the platform. Only the holder sends orders to the engines of the shard, one at a time.
package lrorders

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
)

const (
	statusTimeout          = 400 * time.Millisecond
	maxParallelStatusCalls = 8
)

// An EngineRegistry provides the engines of all zones and their known states.
type EngineRegistry interface {
	Engine(name string) (lrengine.Engine, bool)
	EngineStates(now time.Time) []lrregistry.EngineState
}

// Dependencies are the dependencies of a Holder.
type Dependencies struct {
	Store   lrplatform.Store
	Engines EngineRegistry
	// DesiredModels returns the models at the versions that the configuration requires, with the version to which requests are sent
	// at present.
	DesiredModels func() []lrorder.Model
	Clock         func() time.Time
	Log           zerolog.Logger
}

// Options configure a Holder.
type Options struct {
	// Instance is the name of the instance.
	Instance string
	// Zone is the availability zone whose engines receive the orders.
	Zone string
	// LeaseValidity is how long a lease lasts after each renewal.
	LeaseValidity time.Duration
	// TurnInterval is how long after its last order an instance gives no more once another one has given orders.
	TurnInterval time.Duration
	Times        lrorder.Timeouts
	// SettleTime is the time after which every instance knows of an engine's changed version.
	SettleTime time.Duration
}

// A Holder contends for the lease of one shard and, while it holds the lease, sends the orders to the engines of the shard,
// one at a time.
type Holder struct {
	Dependencies
	options Options
	shard   int
	keeper  *lrlease.Keeper
	// states maps the name of each engine of the shard to the state that it last reported.
	states map[string]engineState
	// desiredSince is when each version of a model was first seen to be desired.
	desiredSince map[modelVersion]time.Time
	// notBefore is the time by which the last order with an unknown outcome is certain to have ended.
	notBefore time.Time
}

type modelVersion struct{ model, version string }

type engineState struct {
	load      lrengine.Load
	reachable bool
	changedAt time.Time
}

// NewHolder returns a Holder that does not hold the lease of the shard yet.
func NewHolder(dependencies Dependencies, options Options, shard int) *Holder {
	lease := lrlease.Options{
		Name: fmt.Sprintf("orders-%s-%d", options.Zone, shard), Instance: options.Instance, Validity: options.LeaseValidity,
		TurnInterval: options.TurnInterval + options.Times.MaxDuration(),
	}
	return &Holder{
		Dependencies: dependencies, options: options, shard: shard, states: map[string]engineState{},
		desiredSince: map[modelVersion]time.Time{},
		keeper:       lrlease.NewKeeper(dependencies.Store, lease, dependencies.Clock),
	}
}

// Step renews the lease or tries to acquire it and, while it is held, sends the next order.
func (h *Holder) Step(ctx context.Context) {
	err := h.keeper.Step(ctx)
	if err != nil {
		h.Log.Debug().Err(err).Int("shard", h.shard).Msg("orders: lease not confirmed")
	}
	_, held := h.keeper.Held(h.Clock())
	if !held {
		return
	}
	engines := h.collectEngines(ctx)
	order, ok := lrorder.Next(h.Clock(), h.trackDesiredModels(), engines, h.options.SettleTime)
	if ok {
		h.send(ctx, order)
	}
}

// trackDesiredModels returns the desired models with the time since when each version is desired, and records that time.
func (h *Holder) trackDesiredModels() []lrorder.Model {
	desired := h.DesiredModels()
	since := make(map[modelVersion]time.Time, len(desired))
	for n, m := range desired {
		id := modelVersion{m.Name, m.Version}
		first, ok := h.desiredSince[id]
		if !ok {
			first = h.Clock()
		}
		since[id] = first
		desired[n].DesiredSince = first
	}
	h.desiredSince = since
	return desired
}

// Held reports whether this instance holds the lease of the shard now.
func (h *Holder) Held() bool {
	_, held := h.keeper.Held(h.Clock())
	return held
}

// ReleaseLease releases the lease. Step must not be called afterwards.
func (h *Holder) ReleaseLease(ctx context.Context) {
	err := h.keeper.Release(ctx)
	if err != nil {
		h.Log.Warn().Err(err).Int("shard", h.shard).Msg("orders: lease not handed back, it lapses by itself")
	}
}

// collectEngines returns the states of all engines. It queries those of the shard and takes the known states of the others.
func (h *Holder) collectEngines(ctx context.Context) []lrorder.Engine {
	now := h.Clock()
	known := h.Engines.EngineStates(now)
	h.queryEngines(ctx, known)
	engines := make([]lrorder.Engine, 0, len(known))
	for _, k := range known {
		e := lrorder.Engine{
			Name: k.Instance.Name, Models: k.Instance.Models, Versions: k.Versions, Reachable: k.Reachable, ChangedAt: k.ChangedAt,
		}
		state, ok := h.states[k.Instance.Name]
		if ok && h.isOwn(k.Instance) {
			e.IsOwn, e.Versions, e.Adapters = true, state.load.Versions, state.load.Adapters
			e.Reachable, e.ChangedAt = state.reachable && !k.Instance.Leaving, state.changedAt
		}
		engines = append(engines, e)
	}
	return engines
}

func (h *Holder) isOwn(instance lrplatform.Instance) bool {
	return instance.Zone == h.options.Zone && lrorder.Shard(instance.Name) == h.shard
}

func (h *Holder) queryEngines(ctx context.Context, known []lrregistry.EngineState) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]engineState, len(known))
	var group errgroup.Group
	group.SetLimit(maxParallelStatusCalls)
	for n, k := range known {
		engine, ok := h.Engines.Engine(k.Instance.Name)
		if !ok || !h.isOwn(k.Instance) {
			continue
		}
		group.Go(func() error {
			load, err := engine.Load(ctx)
			answers[n] = engineState{load: load, reachable: err == nil}
			return nil
		})
	}
	_ = group.Wait()
	for n, k := range known {
		if h.isOwn(k.Instance) {
			h.states[k.Instance.Name] = answers[n].withChangeTime(h.Clock(), h.states[k.Instance.Name])
		}
	}
}

// withChangeTime returns the state with the time withChangeTime when the engine has its versions.
func (s engineState) withChangeTime(now time.Time, before engineState) engineState {
	s.changedAt = before.changedAt
	if before.changedAt.IsZero() || (s.reachable && !sameVersions(s.load.Versions, before.load.Versions)) {
		s.changedAt = now
	}
	if !s.reachable {
		s.load = before.load
	}
	return s
}
