package lrpipeline

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// minTimeToRepeat is the time to the deadline below which an attempt at a silent server is not given up.
const minTimeToRepeat = 100 * time.Millisecond

var errUnresponsive = errors.New("the backend server does not respond")

// monitoredAttempt is the attempt in progress, of which each received byte is recorded.
type monitoredAttempt struct {
	*lrretry.MonitoredAttempt
	cancel context.CancelCauseFunc
	// isGivenUp is set when the attempt was ended because the server does not respond. The retry budget has granted the next one.
	isGivenUp *atomic.Bool
}

// monitor begins to monitor an attempt. The returned context ends when the attempt is given up.
func (r *run) monitor(ctx context.Context, now time.Time, choice lrbalance.Choice, server lrfleet.Server) (context.Context, monitoredAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	m := monitoredAttempt{cancel: cancel, isGivenUp: &atomic.Bool{}}
	m.MonitoredAttempt = r.pipeline.Responses.Sent(now, lrretry.AttemptOptions{
		Server: server.ID, Incarnation: server.Incarnation, Service: r.service.Name, Route: r.route.Name, Urgency: r.route.PriorityOf(r.account),
		Expected: choice.Wait, GiveUp: r.giveUp(m, choice),
	})
	return ctx, m
}

func (m monitoredAttempt) end() {
	m.End()
	m.cancel(nil)
}

// giveUp returns the function that ends the attempt, or nil when the request must not be sent again after it.
func (r *run) giveUp(m monitoredAttempt, choice lrbalance.Choice) func() bool {
	p, service, deadline := r.pipeline, r.service.Name, r.deadline
	isLast := r.possibleRuns+1 >= max(r.route.MaxAttempts, 1) || r.attempts-r.unsentAttempts >= maxSentAttempts
	if !r.route.IsRetryable() || isLast || choice.Candidates < 2 {
		return nil
	}
	return func() bool {
		now := p.Clock()
		if deadline.Sub(now) < minTimeToRepeat || !p.RetryBudgets.Spend(now, service) {
			return false
		}
		m.isGivenUp.Store(true)
		m.cancel(errUnresponsive)
		return true
	}
}

// received records that bytes have arrived from the server of the attempt.
func (r *run) received(isFirstEvent bool) {
	r.current.Received(r.pipeline.Clock(), isFirstEvent)
}

// handleUnresponsive handles an attempt that was given up. The server is not ejected: any byte from it ends the suspicion.
func (r *run) handleUnresponsive(server lrfleet.Server) verdict {
	r.excluded[server.ID] = true
	r.isRetryGranted = true
	r.pipeline.Observer.Attempted("unresponsive")
	r.logAttempt(zerolog.WarnLevel, server, "unresponsive").Bool("sent", !r.lastUnsent).Dur("expectedWait", r.choice.Wait).
		Dur("after", r.pipeline.Clock().Sub(r.Received)).Msg("request: sent")
	return mayRetry
}
