// Package lrweights updates engines to the desired versions of their models' weights. An engine is updated by an order, a command to load
// a version. One instance at a time sends orders: the holder of a lease, whose fencing number the engines check. Before its order, an
// engine is closing: the instances send it no new requests, so that those that run there can end.
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
	// minClosingTime is the minimum time between marking an engine as closing and its order, in which all instances learn of it.
	minClosingTime = 130 * time.Millisecond
	// drainTimeout limits how long an order waits for the requests at the engine to end. It includes minClosingTime.
	drainTimeout = 500 * time.Millisecond
	// stateTimeout limits each call that reads the state of an engine.
	stateTimeout = 400 * time.Millisecond
	// OrderTimeout limits each order. An order without an answer is sent again: the engine accepts it at most once, because of the
	// precondition Order.Accepted.
	OrderTimeout = 150 * time.Millisecond
	// minLoadTime is how long an engine takes at least to load weights. Its state is not read before.
	minLoadTime = 230 * time.Millisecond
	// pollEarlyShare is the share of the learned load time after which the state of an engine is read for the first time.
	pollEarlyShare = 0.85
	// pollInterval is the interval between two reads of the state of an engine that is loading weights.
	pollInterval = 60 * time.Millisecond
	// minUpdateTimeout and updateTimeoutShare, of VersionDeadline, limit the update of one engine. An update that timed out is started
	// again later.
	minUpdateTimeout   = 2500 * time.Millisecond
	updateTimeoutShare = 0.5
	// failureDelay is the minimum time between the failed update of an engine and the next one.
	failureDelay = 400 * time.Millisecond
)

// A State is what an engine reports about itself.
type State struct {
	// Accepted is the number of orders that the engine has accepted.
	Accepted int64
	// IsBusy is set while the engine carries out an order.
	IsBusy bool
	// Versions maps each model to the version of the weights that the engine has loaded.
	Versions map[string]int64
}

var errLeaseLost = errors.New("the lease under which the order was decided is no longer held")

// An Order is a command to an engine to load a version of the weights of a model.
type Order struct {
	Model   string
	Version int64
	// Holder is the name of the instance that sends the order. Fence is the fencing number of its lease.
	Holder string
	Fence  uint64
	// Accepted is the precondition: the engine accepts the order only if it has accepted this number of orders before.
	Accepted int64
	// ContinuesRuns loads the weights at once, and running requests continue on the new weights. Otherwise they finish first.
	ContinuesRuns bool
	// BeforeSend is called just before the first byte is written. An error cancels the order.
	BeforeSend func() error
}

// Result is the answer of an engine to an order.
type Result string

const (
	// Started means that the engine has accepted the order and is loading the weights.
	Started Result = "begun"
	// AlreadyLoaded means that the engine has the version already.
	AlreadyLoaded Result = "holds"
	// Conflict means that the engine has accepted another order in the meantime.
	Conflict Result = "conflict"
	// Fenced means that the engine has seen an order with a higher fencing number.
	Fenced Result = "fenced"
	// Refused means that the engine rejected the order for another reason, such as an order that it does not know.
	Refused Result = "refused"
)

// ErrOtherEngine means that the address now belongs to another engine.
var ErrOtherEngine = errs.Class("another engine has the address, wait for the list")

// Engines is the connection to the engines.
type Engines interface {
	// State reads the state of the engine.
	State(ctx context.Context, server lrfleet.Server) (State, error)
	// Order sends an order. After an error, the engine may still carry it out.
	Order(ctx context.Context, server lrfleet.Server, order Order) (Result, error)
}

// Dependencies are what an instance needs to update engines.
type Dependencies struct {
	Instance  string
	Keeper    *lrlease.Keeper
	Engines   Engines
	Directory *lrfleet.Directory
	Balancer  *lrbalance.Balancer
	Options   lrrollout.Options
	// Report informs the other instances that an engine has loaded new weights.
	Report func(now time.Time, note lrfleet.WeightsUpdate)
	// LeaseClock is the clock of the lease. It also advances while the machine is suspended.
	LeaseClock func() time.Time
	Observer   Observer
	// Go runs work in a goroutine.
	Go  func(name string, work func())
	Log zerolog.Logger
}

// An Observer records metrics of orders.
type Observer interface {
	// Ordered records the result of an order. It is empty when there was no answer.
	Ordered(result Result)
	// LeaseChanged records that the instance has acquired or lost the lease for sending orders.
	LeaseChanged(held bool)
}

// A Updater keeps engines at the desired versions of their weights. It is safe for concurrent use.
type Updater struct {
	Dependencies
	mutex sync.Mutex
	// updating are the engines that are being updated, and closing those of them that must get no new requests.
	updating map[string]bool
	closing  map[string]bool
	// failedAt is the time of the last failed update of an engine.
	failedAt map[string]time.Time
	// refusedFence is the highest fencing number that an engine has refused because it has seen a higher one.
	refusedFence map[string]uint64
	// loadTime is how long engines have taken to load weights.
	loadTime lrrollout.LoadTime
	// leaseWasHeld is set when the lease was held at the last step.
	leaseWasHeld bool
}

// NewUpdater returns an instance's part in the updates, with none under way.
func NewUpdater(parts Dependencies) *Updater {
	return &Updater{
		Dependencies: parts, updating: map[string]bool{}, closing: map[string]bool{}, failedAt: map[string]time.Time{},
		refusedFence: map[string]uint64{},
	}
}

// IsHolder reports whether this instance holds the lease for sending orders.
func (d *Updater) IsHolder(time.Time) bool {
	_, held := d.Keeper.Held(d.LeaseClock())
	return held
}

// HighestFence returns the highest fencing number that this instance knows of.
func (d *Updater) HighestFence() uint64 { return d.Keeper.HighestFence() }

// RecordFence records a fencing number that another instance knows of.
func (d *Updater) RecordFence(fence uint64) { d.Keeper.RecordFence(fence) }

// Closing returns the IDs of the engines that must get no new requests, because they are about to get an order or are carrying one out.
func (d *Updater) Closing() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	closing := make([]string, 0, len(d.closing))
	for id := range d.closing {
		closing = append(closing, id)
	}
	return closing
}

// Step starts the updates that are due, if this instance holds the lease.
func (d *Updater) Step(ctx context.Context, now time.Time) {
	grant, held := d.Keeper.Held(d.LeaseClock())
	d.noteLease(held, grant)
	if !held {
		return
	}
	for _, step := range d.due(now, grant.Fence) {
		server, ok := d.Directory.Server(step.Engine)
		if !ok {
			continue
		}
		d.mutex.Lock()
		d.updating[step.Engine] = true
		d.mutex.Unlock()
		d.Go("changeWeights", func() { d.update(ctx, server, step) })
	}
}

func (d *Updater) noteLease(held bool, grant lrlease.Status) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if held == d.leaseWasHeld {
		return
	}
	d.leaseWasHeld = held
	d.Observer.LeaseChanged(held)
	d.Log.Info().Bool("held", held).Uint64("fence", grant.Fence).Msg("weights: lease")
}

// due returns the updates that may start now, under the fencing number. No engine gets an order again with a number that it has refused.
func (d *Updater) due(now time.Time, fence uint64) []lrrollout.Step {
	servers := d.Directory.All()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engines := make([]lrrollout.Engine, 0, len(servers))
	for _, s := range servers {
		if now.Sub(d.failedAt[s.ID]) < failureDelay || fence <= d.refusedFence[s.ID] {
			continue
		}
		engines = append(engines, lrrollout.Engine{
			ID: s.ID, Versions: s.Versions, Running: d.Balancer.Load(s.ID).Running,
			OutdatedFor: d.outdatedFor(now, s),
		})
	}
	return lrrollout.Next(d.Options, lrrollout.Conditions{Wait: d.meanWait(servers)}, engines, d.Directory.DesiredVersions(), d.updating)
}

// meanWait returns the mean expected wait of requests at the servers that have weights.
func (d *Updater) meanWait(servers []lrfleet.Server) time.Duration {
	total, engines := time.Duration(0), 0
	for _, s := range servers {
		if len(s.Versions) > 0 {
			total += d.Balancer.QueueTime(s.ID)
			engines++
		}
	}
	return total / time.Duration(max(engines, 1))
}

// outdatedFor returns how long a newer version of the weights of any of the server's models has been desired.
func (d *Updater) outdatedFor(now time.Time, server lrfleet.Server) time.Duration {
	oldest := time.Duration(0)
	for model, version := range server.Versions {
		oldest = max(oldest, d.Directory.OutdatedFor(now, model, version))
	}
	return oldest
}

// update brings one engine to the version, or delays its next update when that fails.
func (d *Updater) update(ctx context.Context, server lrfleet.Server, step lrrollout.Step) {
	ctx, cancel := context.WithTimeout(ctx, max(minUpdateTimeout, time.Duration(updateTimeoutShare*float64(d.Options.Deadline))))
	defer cancel()
	began, done := time.Now(), false
	defer func() { d.endUpdate(server.ID, done) }()
	done = d.closeAndOrder(ctx, server, step)
	if done {
		d.Directory.RecordLoaded(server.ID, step.Model, step.Version)
		d.Report(time.Now(), lrfleet.WeightsUpdate{Server: server.ID, Model: step.Model, Version: step.Version})
	}
	d.Log.Info().Str("server", server.ID).Str("model", step.Model).Int64("version", step.Version).Bool("done", done).
		Dur("took", time.Since(began)).Msg("weights: engine")
}

// endUpdate lets the engine receive requests again. After a failed update, the next one is delayed by failureDelay.
func (d *Updater) endUpdate(id string, done bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.updating, id)
	delete(d.closing, id)
	if !done {
		d.failedAt[id] = time.Now()
	}
}

// closeAndOrder reads the state of the engine, keeps new requests away from it, and sends the order. An engine whose state cannot be read
// is not marked as closing, so that it goes on receiving requests.
func (d *Updater) closeAndOrder(ctx context.Context, server lrfleet.Server, step lrrollout.Step) bool {
	state, err := d.state(ctx, server)
	if err != nil {
		d.Log.Warn().Err(err).Str("server", server.ID).Msg("weights: engine does not answer")
		return false
	}
	if state.Versions[step.Model] >= step.Version && !state.IsBusy {
		return true
	}
	d.setClosing(server.ID)
	if !step.SkipsDrain {
		d.drain(ctx, server.ID)
	}
	return d.orderUntilLoaded(ctx, server, step, state)
}

func (d *Updater) setClosing(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closing[id] = true
}

// drain waits until all instances know that the engine is closing and its requests have ended, or drainTimeout has passed.
func (d *Updater) drain(ctx context.Context, id string) {
	lrsupervise.Sleep(ctx, minClosingTime)
	const step = 20 * time.Millisecond
	for waited := minClosingTime; waited < drainTimeout && d.Balancer.Load(id).Running > 0; waited += step {
		lrsupervise.Sleep(ctx, step)
	}
}
