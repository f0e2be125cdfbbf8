package lrpipeline

import (
	"context"
	"errors"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

// recordOutcome counts how the server has answered the present attempt. An answer whose caller has gone counts with its time until then.
func (r *run) recordOutcome(server lrfleet.Server, isFailed bool) {
	p := r.pipeline
	outcome := lrcanary.Outcome{IsFailed: isFailed, Whole: p.Clock().Sub(r.attemptAt)}
	if !r.firstEventAt.IsZero() {
		outcome.First = r.firstEventAt.Sub(r.attemptAt)
	}
	p.Releases.Record(r.release, lrcanary.Server{ID: server.ID, Release: server.Release}, r.route.Name, outcome)
}

// recordBroken counts an attempt without a complete answer as a failure of its release, unless the server may not have run it, or the network
// or the caller may have broken it off.
func (r *run) recordBroken(ctx context.Context, server lrfleet.Server, err error) {
	p := r.pipeline
	if r.lastUnsent || lrconn.ErrRefused.Has(err) || p.UnreachableZones(p.Clock())[server.Zone] {
		return
	}
	isCallerGone := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errRouteTimeout)
	r.recordOutcome(server, !isCallerGone)
}
