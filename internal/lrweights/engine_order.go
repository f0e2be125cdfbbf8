package lrweights

import (
	"context"
	"maps"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrrollout"
)

// orderUntilLoaded sends the order, again if necessary, and waits until it has been carried out. It reports whether the engine has loaded
// the version.
func (d *Updater) orderUntilLoaded(ctx context.Context, server lrfleet.Server, step lrrollout.Step, state State) bool {
	var startedAt time.Time
	for ctx.Err() == nil {
		if state.Versions[step.Model] >= step.Version && !state.IsBusy {
			d.recordLoad(startedAt)
			return true
		}
		pause := pollInterval
		if !state.IsBusy {
			grant, held := d.Keeper.Held(d.LeaseClock())
			if !held || grant.Remaining < OrderTimeout {
				return false
			}
			result := d.sendOrder(ctx, server, Order{
				Model: step.Model, Version: step.Version, Holder: d.Instance, Fence: grant.Fence, Accepted: state.Accepted,
				ContinuesRuns: step.SkipsDrain, BeforeSend: d.leaseCheck(grant.Fence),
			})
			switch result {
			case Fenced:
				d.recordRefused(server.ID, grant.Fence)
				return false
			case Refused:
				return false
			case Started:
				startedAt = time.Now()
				pause = d.firstPoll()
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

// recordRefused records that the engine has refused the fencing number, and has the number raised.
func (d *Updater) recordRefused(id string, fence uint64) {
	d.Keeper.Refused(fence)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	maps.DeleteFunc(d.refusedFence, func(_ string, refused uint64) bool { return refused < fence })
	d.refusedFence[id] = fence
}

// recordLoad records the load that an order has started, if there was one.
func (d *Updater) recordLoad(startedAt time.Time) {
	if startedAt.IsZero() {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.loadTime = d.loadTime.WithSample(time.Since(startedAt))
}

// firstPoll returns how long after an order the state of the engine is read for the first time.
func (d *Updater) firstPoll() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return max(minLoadTime, time.Duration(pollEarlyShare*float64(d.loadTime.Mean(minLoadTime))))
}

// leaseCheck returns the check that runs just before an order is sent: the lease must be held under the same fencing number as when the
// order was decided. The process may have been paused in between, and another instance may hold the lease now.
func (d *Updater) leaseCheck(fence uint64) func() error {
	return func() error {
		grant, held := d.Keeper.Held(d.LeaseClock())
		if !held || grant.Fence != fence {
			return errLeaseLost
		}
		return nil
	}
}

func (d *Updater) state(ctx context.Context, server lrfleet.Server) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.Engines.State(ctx, server)
	d.noteDisplaced(server, err)
	return state, err
}

// sendOrder sends one order. An order without an answer may still be carried out, but only if the engine accepts no other order before.
func (d *Updater) sendOrder(ctx context.Context, server lrfleet.Server, order Order) Result {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	result, err := d.Engines.Order(ctx, server, order)
	d.noteDisplaced(server, err)
	d.Observer.Ordered(result)
	d.Log.Info().Err(err).Str("server", server.ID).Str("model", order.Model).Int64("version", order.Version).
		Uint64("fence", order.Fence).Int64("accepted", order.Accepted).Str("result", string(result)).Msg("weights: order")
	return result
}

func (d *Updater) noteDisplaced(server lrfleet.Server, err error) {
	if ErrOtherEngine.Has(err) {
		d.Directory.MarkDisplaced(server.ID)
	}
}
