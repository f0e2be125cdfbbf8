// Package lrorders gives engines the orders that the configuration calls for. Each shard of the engines of an
// availability zone has one holder at a time, by a lease in the platform.
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
	askTimeout  = 400 * time.Millisecond
	parallelAsk = 8
)

// An EngineBook knows the engines of all zones.
type EngineBook interface {
	Engine(name string) (lrengine.Engine, bool)
	EngineStates(now time.Time) []lrregistry.EngineState
}

// Parts are what the holders work with.
type Parts struct {
	Store   lrplatform.Store
	Engines EngineBook
	// Wanted returns the models that the configuration wants, with the version at which requests are sent.
	Wanted func() []lrorder.Model
	Clock  func() time.Time
	Log    zerolog.Logger
}

// Options bound what holders do.
type Options struct {
	// Instance is the name of the instance.
	Instance string
	// Zone is the availability zone whose engines get the orders.
	Zone string
	// LeaseValidity is how long a lease lasts after each renewal.
	LeaseValidity time.Duration
	Times         lrorder.Times
	// Settle is the time after which a changed version is known to every instance.
	Settle time.Duration
}

// A Holder is one instance's part in the orders of one shard. It gives one order at a time.
type Holder struct {
	Parts
	options Options
	shard   int
	keeper  *lrlease.Keeper
	// states is what this holder was last told by each engine of the shard.
	states map[string]engineState
	// wantedSince is when each model's version was first seen to be wanted.
	wantedSince map[modelVersion]time.Time
	// notBefore is when an order whose outcome is unknown has surely ended.
	notBefore time.Time
}

type modelVersion struct{ model, version string }

type engineState struct {
	load      lrengine.Load
	reachable bool
	changedAt time.Time
}

// NewHolder returns a Holder that does not hold the shard yet.
func NewHolder(parts Parts, options Options, shard int) *Holder {
	name := fmt.Sprintf("orders-%s-%d", options.Zone, shard)
	return &Holder{
		Parts: parts, options: options, shard: shard, states: map[string]engineState{},
		wantedSince: map[modelVersion]time.Time{},
		keeper:      lrlease.NewKeeper(parts.Store, name, options.Instance, options.LeaseValidity, parts.Clock),
	}
}

// Step renews or contends for the lease and, while it is held, gives the next order.
func (h *Holder) Step(ctx context.Context) {
	err := h.keeper.Step(ctx)
	if err != nil {
		h.Log.Debug().Err(err).Int("shard", h.shard).Msg("orders: lease not confirmed")
	}
	_, held := h.keeper.Held(h.Clock())
	if !held {
		return
	}
	engines := h.look(ctx)
	order, ok := lrorder.Next(h.Clock(), h.wishes(), engines, h.options.Settle)
	if ok {
		h.give(ctx, order)
	}
}

// wishes returns the wanted models with the time since when each is wanted.
func (h *Holder) wishes() []lrorder.Model {
	wanted := h.Wanted()
	since := make(map[modelVersion]time.Time, len(wanted))
	for n, m := range wanted {
		id := modelVersion{m.Name, m.Version}
		first, ok := h.wantedSince[id]
		if !ok {
			first = h.Clock()
		}
		since[id] = first
		wanted[n].Since = first
	}
	h.wantedSince = since
	return wanted
}

// Held reports whether this instance holds the shard at the present time.
func (h *Holder) Held() bool {
	_, held := h.keeper.Held(h.Clock())
	return held
}

// HandBack gives the lease back. Step must not be called any more.
func (h *Holder) HandBack(ctx context.Context) {
	err := h.keeper.Release(ctx)
	if err != nil {
		h.Log.Warn().Err(err).Int("shard", h.shard).Msg("orders: lease not handed back, it lapses by itself")
	}
}

// look asks the engines of the shard how they are and adds what is known of all others.
func (h *Holder) look(ctx context.Context) []lrorder.Engine {
	now := h.Clock()
	known := h.Engines.EngineStates(now)
	h.ask(ctx, known)
	engines := make([]lrorder.Engine, 0, len(known))
	for _, k := range known {
		e := lrorder.Engine{
			Name: k.Instance.Name, Models: k.Instance.Models, Versions: k.Versions, Reachable: k.Reachable, ChangedAt: k.ChangedAt,
		}
		asked, ok := h.states[k.Instance.Name]
		if ok && h.isMine(k.Instance) {
			e.Mine, e.Versions, e.Adapters = true, asked.load.Versions, asked.load.Adapters
			e.Reachable, e.ChangedAt = asked.reachable && !k.Instance.Leaving, asked.changedAt
		}
		engines = append(engines, e)
	}
	return engines
}

func (h *Holder) isMine(instance lrplatform.Instance) bool {
	return instance.Zone == h.options.Zone && lrorder.Shard(instance.Name) == h.shard
}

func (h *Holder) ask(ctx context.Context, known []lrregistry.EngineState) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make([]engineState, len(known))
	var group errgroup.Group
	group.SetLimit(parallelAsk)
	for n, k := range known {
		engine, ok := h.Engines.Engine(k.Instance.Name)
		if !ok || !h.isMine(k.Instance) {
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
		if h.isMine(k.Instance) {
			h.states[k.Instance.Name] = answers[n].since(h.Clock(), h.states[k.Instance.Name])
		}
	}
}

// since returns the state with the time since when the engine has its versions.
func (s engineState) since(now time.Time, before engineState) engineState {
	s.changedAt = before.changedAt
	if before.changedAt.IsZero() || (s.reachable && !sameVersions(s.load.Versions, before.load.Versions)) {
		s.changedAt = now
	}
	if !s.reachable {
		s.load = before.load
	}
	return s
}
