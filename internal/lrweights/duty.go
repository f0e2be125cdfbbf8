// Package lrweights brings engines to the weights that are wanted. One instance at a time gives the orders, under a
// lease whose number the engines check.
package lrweights

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrrollout"
)

const (
	// closeFor is how long all instances know of a closing engine before its order, at least.
	closeFor = 130 * time.Millisecond
	// emptyFor bounds how long an order waits for the requests at the engine to end.
	emptyFor = 500 * time.Millisecond
	// stateTimeout bounds each question for the state of an engine.
	stateTimeout = 400 * time.Millisecond
	// orderTimeout bounds each order. One without an answer is given again, since it holds only once.
	orderTimeout = 150 * time.Millisecond
	// loadTime is about how long an engine takes for new weights.
	loadTime = 230 * time.Millisecond
	// pollPause is the time between two questions whether the weights are in place.
	pollPause = 60 * time.Millisecond
	// changeTimeout bounds the change of one engine. It is begun again later.
	changeTimeout = 2500 * time.Millisecond
	// failurePause is how long an engine that could not be changed is left alone.
	failurePause = 400 * time.Millisecond
)

// A State is what an engine tells of itself.
type State struct {
	// Accepted is the number of orders that it has accepted.
	Accepted int64
	// IsBusy tells that it is carrying out an order.
	IsBusy   bool
	Versions map[string]int64
}

var errLeaseLost = errors.New("the lease under which the order was decided is not held any more")

// An Order tells an engine to take new weights.
type Order struct {
	Model   string
	Version int64
	Holder  string
	Fence   uint64
	// Accepted is the number of accepted orders at which the order still holds.
	Accepted int64
	// KeepsRuns makes the runs that are under way go on under the new weights at once, instead of finishing first.
	KeepsRuns bool
	// MayLeave is asked last before the first byte leaves. An error holds the order back.
	MayLeave func() error
}

// Result is what an engine answers to an order.
type Result string

const (
	// Begun means that the order is being carried out.
	Begun Result = "begun"
	// Holds means that the engine has the weights already.
	Holds Result = "holds"
	// Conflict means that another order came first.
	Conflict Result = "conflict"
	// Fenced means that a later holder has given orders.
	Fenced Result = "fenced"
	// Refused means that the engine does not know the order.
	Refused Result = "refused"
)

// ErrElsewhere means that another engine has the address now.
var ErrElsewhere = errs.Class("another engine has the address, wait for the list")

// Engines gives orders to engines.
type Engines interface {
	State(ctx context.Context, server lrfleet.Server) (State, error)
	Order(ctx context.Context, server lrfleet.Server, order Order) (Result, error)
}

// Parts are what a Duty works with.
type Parts struct {
	Instance  string
	Keeper    *lrlease.Keeper
	Engines   Engines
	Directory *lrfleet.Directory
	Balancer  *lrbalance.Balancer
	Options   lrrollout.Options
	// Tell spreads that an engine has taken new weights.
	Tell func(now time.Time, note lrfleet.WeightsNote)
	// LeaseClock is the clock of the lease, which counts time in suspension.
	LeaseClock func() time.Time
	Observer   Observer
	// Go runs work beside the duty.
	Go  func(name string, work func())
	Log zerolog.Logger
}

// An Observer counts what becomes of orders.
type Observer interface {
	// Ordered notes the result of an order. It is empty where there was no answer.
	Ordered(result Result)
	// LeaseChanged notes that the right to give orders was won or lost.
	LeaseChanged(held bool)
}

// A Duty keeps engines at the weights that are wanted. It is safe for use by several goroutines.
type Duty struct {
	Parts
	mutex   sync.Mutex
	busy    map[string]bool
	closing map[string]bool
	// failedAt tells when an engine could last not be changed.
	failedAt map[string]time.Time
	wasHeld  bool
}

// NewDuty returns a Duty that holds nothing.
func NewDuty(parts Parts) *Duty {
	return &Duty{
		Parts: parts, busy: map[string]bool{}, closing: map[string]bool{}, failedAt: map[string]time.Time{},
	}
}

// IsHolder reports whether this instance gives the orders.
func (d *Duty) IsHolder(time.Time) bool {
	_, held := d.Keeper.Held(d.LeaseClock())
	return held
}

// Closing returns the engines that are about to get an order.
func (d *Duty) Closing() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	closing := make([]string, 0, len(d.closing))
	for id := range d.closing {
		closing = append(closing, id)
	}
	return closing
}

// Step begins the changes that are due, if this instance gives the orders.
func (d *Duty) Step(ctx context.Context, now time.Time) {
	grant, held := d.Keeper.Held(d.LeaseClock())
	d.noteHeld(held, grant)
	if !held {
		return
	}
	for _, step := range d.due(now) {
		server, ok := d.Directory.Server(step.Engine)
		if !ok {
			continue
		}
		d.mutex.Lock()
		d.busy[step.Engine] = true
		d.mutex.Unlock()
		d.Go("changeWeights", func() { d.change(ctx, server, step) })
	}
}

func (d *Duty) noteHeld(held bool, grant lrlease.Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if held == d.wasHeld {
		return
	}
	d.wasHeld = held
	d.Observer.LeaseChanged(held)
	d.Log.Info().Bool("held", held).Uint64("fence", grant.Fence).Msg("weights: lease")
}

func (d *Duty) due(now time.Time) []lrrollout.Step {
	servers := d.Directory.All()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engines := make([]lrrollout.Engine, 0, len(servers))
	for _, s := range servers {
		if now.Sub(d.failedAt[s.ID]) < failurePause {
			continue
		}
		engines = append(engines, lrrollout.Engine{
			ID: s.ID, Versions: s.Versions, Running: d.Balancer.Load(s.ID).Running,
			OutdatedFor: d.outdatedFor(now, s),
		})
	}
	return lrrollout.Next(d.Options, engines, d.Directory.WantedVersions(), d.busy)
}

// outdatedFor returns how long newer weights of any of the server's models have been wanted.
func (d *Duty) outdatedFor(now time.Time, server lrfleet.Server) time.Duration {
	oldest := time.Duration(0)
	for model, version := range server.Versions {
		oldest = max(oldest, d.Directory.OutdatedFor(now, model, version))
	}
	return oldest
}

// change brings one engine to the version, or gives up for a while.
func (d *Duty) change(ctx context.Context, server lrfleet.Server, step lrrollout.Step) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	began, done := time.Now(), false
	defer func() { d.endChange(server.ID, done) }()
	done = d.bring(ctx, server, step)
	if done {
		d.Directory.NoteVersion(server.ID, step.Model, step.Version)
		d.Tell(time.Now(), lrfleet.WeightsNote{Server: server.ID, Model: step.Model, Version: step.Version})
	}
	d.Log.Info().Str("server", server.ID).Str("model", step.Model).Int64("version", step.Version).Bool("done", done).
		Dur("took", time.Since(began)).Msg("weights: engine")
}

// endChange lets the engine take requests again, and further orders after a while if the change has failed.
func (d *Duty) endChange(id string, done bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.busy, id)
	delete(d.closing, id)
	if !done {
		d.failedAt[id] = time.Now()
	}
}

// bring asks the engine for its state, keeps new requests away from it, and gives the order. An engine that does not
// answer loses no request.
func (d *Duty) bring(ctx context.Context, server lrfleet.Server, step lrrollout.Step) bool {
	state, err := d.state(ctx, server)
	if err != nil {
		d.Log.Warn().Err(err).Str("server", server.ID).Msg("weights: engine does not answer")
		return false
	}
	if state.Versions[step.Model] >= step.Version && !state.IsBusy {
		return true
	}
	d.setClosing(server.ID)
	if !step.IsLate {
		d.awaitEmpty(ctx, server.ID)
	}
	return d.order(ctx, server, step, state)
}

func (d *Duty) setClosing(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closing[id] = true
}

// awaitEmpty waits until all instances know that the engine closes and its requests have ended.
func (d *Duty) awaitEmpty(ctx context.Context, id string) {
	lrsupervise.Sleep(ctx, closeFor)
	const step = 20 * time.Millisecond
	for waited := closeFor; waited < emptyFor && d.Balancer.Load(id).Running > 0; waited += step {
		lrsupervise.Sleep(ctx, step)
	}
}

// order gives the order and waits until it has been carried out.
func (d *Duty) order(ctx context.Context, server lrfleet.Server, step lrrollout.Step, state State) bool {
	for ctx.Err() == nil {
		if state.Versions[step.Model] >= step.Version && !state.IsBusy {
			return true
		}
		pause := pollPause
		if !state.IsBusy {
			grant, held := d.Keeper.Held(d.LeaseClock())
			if !held || grant.Left < orderTimeout {
				return false
			}
			result := d.give(ctx, server, Order{
				Model: step.Model, Version: step.Version, Holder: d.Instance, Fence: grant.Fence, Accepted: state.Accepted,
				KeepsRuns: step.IsLate, MayLeave: d.stillHeld(grant.Fence),
			})
			switch result {
			case Fenced, Refused:
				return false
			case Begun:
				pause = loadTime
			}
		}
		lrsupervise.Sleep(ctx, pause)
		next, err := d.state(ctx, server)
		if err != nil {
			d.Log.Warn().Err(err).Str("server", server.ID).Msg("weights: engine does not answer")
			return false
		}
		state = next
	}
	return false
}

// stillHeld returns the last question before an order leaves: whether the lease is held as it was when the order was decided. The process
// may have been paused meanwhile, and another instance may hold it now.
func (d *Duty) stillHeld(fence uint64) func() error {
	return func() error {
		grant, held := d.Keeper.Held(d.LeaseClock())
		if !held || grant.Fence != fence {
			return errLeaseLost
		}
		return nil
	}
}

func (d *Duty) state(ctx context.Context, server lrfleet.Server) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.Engines.State(ctx, server)
	d.noteElsewhere(server, err)
	return state, err
}

// give gives the order. An order without an answer may still be carried out, but only if no other one comes first.
func (d *Duty) give(ctx context.Context, server lrfleet.Server, order Order) Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := d.Engines.Order(ctx, server, order)
	d.noteElsewhere(server, err)
	d.Observer.Ordered(result)
	d.Log.Info().Err(err).Str("server", server.ID).Str("model", order.Model).Int64("version", order.Version).
		Uint64("fence", order.Fence).Int64("accepted", order.Accepted).Str("result", string(result)).Msg("weights: order")
	return result
}

func (d *Duty) noteElsewhere(server lrfleet.Server, err error) {
	if ErrElsewhere.Has(err) {
		d.Directory.Displaced(server.ID)
	}
}
