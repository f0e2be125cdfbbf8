package lrpipeline

import (
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
		decision := p.Admission.Decide(now, r.arrival(choice), func() bool {
			return p.Balancer.HasFree(choice, r.compared.engines, r.compared.excluded)
		})
		p.Observer.Decided(r.route.Name, string(decision.Reason))
		if !decision.IsAccepted() {
			r.refusal = &decision
			p.Balancer.End(choice, false)
			p.Notices.Return(now, startedServer(server))
			return false
		}
	}
	p.RetryBudgets.Earn(now, r.service.Name)
	return true
}

// arrival returns what the decision depends on.
func (r *run) arrival(choice lrbalance.Choice) lrqueue.Arrival {
	now := r.pipeline.Clock()
	return lrqueue.Arrival{
		Service: r.service.Name, Route: r.route.Name, Account: r.account.Name, Urgency: r.route.PriorityOf(r.account),
		Work: float64(max(choice.Missing+r.OutputTokens, 1)), Wait: choice.Wait, Elapsed: now.Sub(r.Received),
		Target: r.route.TargetLatency, TimeLeft: r.deadline.Sub(now),
	}
}

// overloaded returns the refusal of a request for which there is too little capacity.
func overloaded(decision lrqueue.Decision) *lrerror.Error {
	return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "the request cannot be served in time now; come back later").
		WithRetryAfter(decision.RetryAfter).WithCause(decision.Err())
}
