package lrorders

import (
	"context"
	"maps"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
)

// send sends the order if the lease allows it now. It sends nothing while an earlier order whose outcome is unknown may
// still be in progress.
func (h *Holder) send(ctx context.Context, order lrorder.Order) {
	engine, ok := h.Engines.Engine(order.Engine)
	if !ok {
		return
	}
	grant, held := h.keeper.Held(h.Clock())
	if h.Clock().Before(h.notBefore) {
		return
	}
	if !held || !h.options.Times.MaySend(leaseStatus(grant), h.checksFencing(order.Engine)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.Times.CallTimeout)
	defer cancel()
	err := engine.Order(ctx, wireOrder(order, grant.Fence, h.options.Times))
	event := h.Log.Info()
	if err != nil {
		event = h.Log.Warn().Err(err)
	}
	if lrengine.ErrStaleFence.Has(err) {
		h.keeper.Refused(grant.Fence)
	}
	if lrengine.ErrBroken.Has(err) {
		h.notBefore = h.Clock().Add(h.options.Times.MaxDuration())
	}
	event.Str("engine", order.Engine).Str("model", order.Model).Str("version", order.Version).
		Str("adapter", order.Adapter).Uint64("fence", grant.Fence).Msg("orders: order given")
}

func (h *Holder) checksFencing(engine string) bool {
	for _, s := range h.Engines.EngineStates(h.Clock()) {
		if s.Instance.Name == engine {
			return s.Instance.ChecksFencing
		}
	}
	return false
}

func leaseStatus(grant lrlease.Status) lrorder.LeaseStatus {
	return lrorder.LeaseStatus{Remaining: grant.Remaining, HeldFor: grant.HeldFor, Released: grant.Released}
}

func wireOrder(order lrorder.Order, fence uint64, times lrorder.Timeouts) lrengine.Order {
	kind := lrengine.OrderLoad
	if order.Kind == lrorder.KindAdapter {
		kind = lrengine.OrderAdapter
	}
	return lrengine.Order{
		Kind: kind, Model: order.Model, Version: order.Version, Adapter: order.Adapter, FencingNumber: fence, ValidFor: times.ValidFor,
	}
}

func sameVersions(a, b map[string]string) bool { return maps.Equal(a, b) }
