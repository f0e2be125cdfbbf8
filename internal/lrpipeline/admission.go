package lrpipeline

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
)

// compared are the servers among which one was chosen.
type compared struct {
	engines  []lrbalance.Engine
	excluded map[string]bool
}

// isAdmitted decides whether the request is sent to the chosen server for the first time. Otherwise it gives up the placement.
func (r *run) isAdmitted(choice lrbalance.Choice, server lrfleet.Server) bool {
	p := r.pipeline
	now := p.Clock()
	if p.Admission != nil && r.route.HasUsableTarget() {
		r.arrival, r.decidedAt = r.newArrival(now, choice), now
		r.decision = p.Admission.Decide(now, r.arrival, func() float64 {
			return p.Balancer.FreePart(choice, r.compared.engines, r.compared.excluded)
		})
		p.Observer.Decided(r.route.Name, string(r.decision.Reason))
		if !r.decision.IsAccepted() {
			p.Balancer.End(choice, false)
			p.Releases.End(r.release)
			p.Notices.Return(now, startedServer(server))
			return false
		}
	}
	p.RetryBudgets.Earn(now, r.service.Name)
	return true
}

// newArrival returns what the decision depends on.
func (r *run) newArrival(now time.Time, choice lrbalance.Choice) lrqueue.Arrival {
	load, own := r.pipeline.Balancer.Before(choice)
	return lrqueue.Arrival{
		Service: r.service.Name, Route: r.route.Name, Account: r.account.Name, Digest: r.Digest, Urgency: r.route.PriorityOf(r.account),
		Work: float64(max(choice.Missing+r.OutputTokens, 1)), Wait: choice.Wait, Own: own, IsPlain: r.Model == "" && r.PromptTokens == 0,
		Ahead: load.Running, Slots: choice.Engine.Slots, IsServerFree: choice.Engine.IsFree(load),
		Elapsed: now.Sub(r.Received), Target: r.route.TargetLatency, Gap: r.route.TargetGap, TimeLeft: r.deadline.Sub(now),
	}
}

// observeFirstEvent records when the first event or the answer of an admitted request has arrived.
func (r *run) observeFirstEvent() {
	p := r.pipeline
	if p.Admission == nil || r.decidedAt.IsZero() {
		return
	}
	now := p.Clock()
	if r.attempts == 1 {
		p.Admission.Observe(now, r.arrival, now.Sub(r.decidedAt))
		return
	}
	p.Admission.Complete(now, r.arrival)
}

// overloaded returns the refusal of a request for which there is too little capacity.
func overloaded(decision lrqueue.Decision) *lrerror.Error {
	return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "the request cannot be served in time now; come back later").
		WithRetryAfter(decision.RetryAfter).WithCause(decision.Err())
}
