package lrpipeline

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	// maxSends bounds how often one request is sent, refusals of backend servers included.
	maxSends = 6
	// maxUnsent bounds how often a request meets a server to which it cannot be sent. It is soon over, since nobody listens there,
	// and each such server is ejected.
	maxUnsent = 16
	// choiceLife is how long after the choice of a server a request may still leave for it. Connecting takes less.
	choiceLife = time.Second
)

// A verdict says what becomes of a request after an attempt.
type verdict int

const (
	// isOver means that the caller has its answer.
	isOver verdict = iota
	// mayRepeat means that the request did not run, or may run again.
	mayRepeat
	// mustEnd means that the request may have run and must not run again.
	mustEnd
)

// run is the way of one admitted request.
type run struct {
	pipeline *Pipeline
	admitted
	caller   Caller
	excluded map[string]bool
	// choice is the last placement.
	choice lrbalance.Choice
	// sends counts attempts, runs those that may have run, and unsents those of which no byte has left.
	sends   int
	runs    int
	unsents int
	// unsent tells that no byte of the last sending has left.
	unsent bool
	// computed tells that the last attempt has computed the prompt.
	computed bool
	// begun tells that the caller has the head of the stream, and lastEvent is the last event that it got.
	begun     bool
	lastEvent string
	// wasBounced tells that a server had other weights than expected. It may be asked again once, with what it has shown.
	wasBounced bool
	// hold is what the request holds of answers.
	hold *lrmemory.Hold
	// failure is the last failure that a backend server answered with.
	failure     *Reply
	failureBody []byte
}

func (r *run) serve(ctx context.Context) {
	p := r.pipeline
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errRouteTimeout)
	defer cancel()
	for {
		choice, server, ok := r.choose()
		if !ok {
			r.end(ctx, "noServer")
			return
		}
		switch r.attempt(ctx, choice, server) {
		case isOver:
			return
		case mustEnd:
			r.end(ctx, "failed")
			return
		case mayRepeat:
		}
		if ctx.Err() != nil || !r.mayRepeat() {
			r.end(ctx, "failed")
			return
		}
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Int("sends", r.sends).Int("runs", r.runs).
			Str("resumeAfter", r.lastEvent).Msg("request: repeated")
	}
}

var (
	errRouteTimeout = errors.New("the time of the request is over")
	errOldChoice    = errors.New("the choice of the backend server is too old")
)

// mayRepeat reports whether one more sending is allowed. It is taken from the budget of the service, unless the last
// one did not leave.
func (r *run) mayRepeat() bool {
	if r.sends-r.unsents >= maxSends || r.unsents >= maxUnsent || r.runs >= max(r.route.MaxAttempts, 1) {
		return false
	}
	return r.unsent || r.pipeline.Budgets.Spend(r.pipeline.Clock(), r.service.Name)
}

// attempt sends the request to the server and passes the answer on where that settles the request.
func (r *run) attempt(ctx context.Context, choice lrbalance.Choice, server lrfleet.Server) verdict {
	p := r.pipeline
	began := p.Clock()
	r.computed = false
	defer func() { p.Balancer.End(choice, r.computed) }()
	r.sends++
	p.Ejector.Started(began, server.ID)
	reply, err := p.Backend.Send(ctx, Attempt{
		Request: r.Request, Server: server, Connections: r.connections(), Account: r.account.Name, CacheScope: r.cacheScope(server),
		Urgency: r.route.PriorityOf(r.account), TimeLeft: r.deadline.Sub(began), ResumeAfter: r.lastEvent,
		Version: server.Versions[r.Model], MayLeave: r.mayLeave(), FetchFrom: r.source(choice), SaveTo: r.saveTo(choice),
	})
	if lrconn.ErrHeldBack.Has(err) {
		return r.heldBack(ctx, server, err)
	}
	r.unsent = lrconn.ErrNotSent.Has(err)
	switch {
	case r.unsent:
		r.unsents++
	case err != nil || reply.Refusal == Accepted:
		r.runs++
	}
	if err != nil {
		return r.broken(ctx, server, err)
	}
	defer reply.Close()
	if r.Model != "" && reply.Version > 0 {
		p.Directory.NoteVersion(server.ID, r.Model, reply.Version)
	}
	if reply.Refusal == RefusedElsewhere {
		p.Directory.Displaced(server.ID)
	}
	if reply.Refusal != Accepted {
		if reply.Refusal != RefusedVersion || r.wasBounced {
			r.excluded[server.ID] = true
		}
		r.wasBounced = r.wasBounced || reply.Refusal == RefusedVersion
		r.logAttempt(zerolog.WarnLevel, server, "refused").Str("refusal", string(reply.Refusal)).Int("status", reply.Status).Msg("request: sent")
		p.Observer.Attempted("refused")
		return mayRepeat
	}
	if r.route.Kind == lrtable.Streaming && reply.IsSuccess() {
		return r.relayStream(ctx, choice, server, reply)
	}
	return r.relayAnswer(ctx, choice, server, reply)
}

// mayLeave returns the last question before an attempt leaves: whether the request has time left and its choice is new, on a clock that
// counts the time in which the process was paused.
func (r *run) mayLeave() func() error {
	p := r.pipeline
	chosenAt := p.PauseClock()
	return func() error {
		now := p.PauseClock()
		switch {
		case now.After(r.pauseDeadline):
			return errRouteTimeout
		case now.Sub(chosenAt) > choiceLife:
			return errOldChoice
		default:
			return nil
		}
	}
}

// heldBack deals with an attempt that did not leave, since this instance was paused meanwhile. The server has no part in it.
func (r *run) heldBack(ctx context.Context, server lrfleet.Server, err error) verdict {
	r.unsent = true
	r.unsents++
	r.pipeline.Observer.Attempted("heldBack")
	r.logAttempt(zerolog.WarnLevel, server, "heldBack").Err(err).Msg("request: sent")
	if ctx.Err() != nil || !errors.Is(err, errOldChoice) {
		return mustEnd
	}
	return mayRepeat
}

// broken deals with an attempt that brought no answer.
func (r *run) broken(ctx context.Context, server lrfleet.Server, err error) verdict {
	p := r.pipeline
	r.excluded[server.ID] = true
	p.Observer.Attempted("broken")
	r.logAttempt(zerolog.WarnLevel, server, "broken").Err(err).Bool("sent", !r.unsent).Msg("request: sent")
	if ctx.Err() != nil {
		return mustEnd
	}
	if lrconn.ErrRefused.Has(err) {
		p.Ejector.Refused(p.Clock(), server.ID)
		return mayRepeat
	}
	if p.Ejector.Failed(p.Clock(), server.ID) {
		p.Log.Warn().Str("server", server.ID).Msg("backend server: ejected")
	}
	if r.unsent {
		return mayRepeat
	}
	p.Crashes.Crashed(p.Clock(), r.Digest, server.ID)
	if r.route.Repeatable() {
		return mayRepeat
	}
	return mustEnd
}

func (r *run) logAttempt(level zerolog.Level, server lrfleet.Server, outcome string) *zerolog.Event {
	return r.pipeline.Log.WithLevel(level).Str("request", r.ID).Str("route", r.route.Name).Str("account", r.account.Name).
		Str("server", server.ID).Int("sends", r.sends).Str("outcome", outcome).Time("received", r.Received.Round(time.Millisecond))
}
