package lrpipeline

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	// maxSentAttempts limits how often one request is sent, including the attempts that backend servers refuse.
	maxSentAttempts = 6
	// maxUnsentAttempts limits the attempts of which no byte could be sent. They fail fast, because nothing listens at the address, and
	// each such server is ejected.
	maxUnsentAttempts = 16
	// maxChoiceAge is how long after the choice of a server a request may still be sent to it. Connecting takes less time.
	maxChoiceAge = time.Second
	// maxLoggedParts limits the parts of a prompt in one log line.
	maxLoggedParts = 12
)

// A verdict is what to do with a request after an attempt.
type verdict int

const (
	// isDone means that the request has ended: the caller has its answer or has disconnected.
	isDone verdict = iota
	// mayRetry means that the request did not run, or is safe to run again.
	mayRetry
	// mustFail means that the request must not be sent again, because it may have run or its time is over.
	mustFail
)

// run is the state of one admitted request while it is served.
type run struct {
	pipeline *Pipeline
	admittedRequest
	caller Caller
	// excluded are the IDs of the servers that must not be chosen again.
	excluded map[string]bool
	// choice is the result of the last placement, and compared the servers among which it was made.
	choice   lrbalance.Choice
	compared compared
	// arrival and decision are those of the decision whether to send the request, which was made at decidedAt.
	arrival   lrqueue.Arrival
	decision  lrqueue.Decision
	decidedAt time.Time
	// release is the version of the service that the present attempt is for, attemptAt when it began and firstEventAt when its first event
	// arrived.
	release      lrcanary.Assignment
	attemptAt    time.Time
	firstEventAt time.Time
	// attempts counts all attempts, possibleRuns those that may have run, and unsentAttempts those of which no byte was sent.
	attempts       int
	possibleRuns   int
	unsentAttempts int
	// lastUnsent is set when no byte of the last attempt was sent.
	lastUnsent bool
	// current is the attempt in progress. isRetryGranted is set when the retry budget has granted the next one.
	current        monitoredAttempt
	isRetryGranted bool
	// promptComputed is set when the server of the last attempt has computed the prompt.
	promptComputed bool
	// answerBegun is set when the head of an answer to the last attempt has arrived.
	answerBegun bool
	// headSent is set when the head of an answer was sent to the caller. lastEventID is the ID of the last event that the caller received.
	headSent    bool
	lastEventID string
	// versionMismatched is set when a server had another weights version than expected. That server may be tried once more, with the
	// version that its reply stated.
	versionMismatched bool
	// heldBack are the servers that wanted no request at the last placement.
	heldBack heldBack
	// memory accounts for the memory in which answers are buffered.
	memory *lrmemory.Reservation
	// rejection is set when the request must not be sent because it crashes servers.
	rejection *lrquarantine.Decision
	// failure is the last error answer of a backend server.
	failure     *Reply
	failureBody []byte
}

func (r *run) serve(ctx context.Context) {
	p := r.pipeline
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errRouteTimeout)
	defer cancel()
	for {
		if !r.awaitAdmission(ctx) {
			r.fail(ctx, "failed")
			return
		}
		choice, server, ok := r.choose()
		if !ok {
			r.fail(ctx, "noServer")
			return
		}
		if r.attempts == 0 && !r.isAdmitted(choice, server) {
			r.fail(ctx, "overloaded")
			return
		}
		switch r.attempt(ctx, choice, server) {
		case isDone:
			return
		case mustFail:
			r.fail(ctx, "failed")
			return
		case mayRetry:
		}
		if ctx.Err() != nil || !r.mayRetry() {
			r.fail(ctx, "failed")
			return
		}
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Int("sends", r.attempts).Int("runs", r.possibleRuns).
			Str("resumeAfter", r.lastEventID).Msg("request: repeated")
	}
}

// awaitAdmission waits while it is about to be decided whether the request crashes servers. It reports whether the request may be sent.
func (r *run) awaitAdmission(ctx context.Context) bool {
	p := r.pipeline
	for {
		decision := p.Quarantine.Check(p.Clock(), r.traits)
		switch decision.Admission {
		case lrquarantine.Rejected:
			r.rejection = &decision
			return false
		case lrquarantine.Delayed:
			p.Log.Info().Str("request", r.ID).Str("route", r.route.Name).Dur("wait", decision.Wait).Strs("parts", r.loggedParts()).
				Msg("request: delayed")
			if !lrsupervise.Sleep(ctx, decision.Wait) {
				return false
			}
		case lrquarantine.Admitted:
			return true
		}
	}
}

var (
	errRouteTimeout = errors.New("the time of the request is over")
	errStaleChoice  = errors.New("the choice of the backend server is too old")
)

// mayRetry reports whether one more attempt is allowed. The attempt is taken from the retry budget of the service, unless no byte of
// the last one was sent.
func (r *run) mayRetry() bool {
	if r.attempts-r.unsentAttempts >= maxSentAttempts || r.unsentAttempts >= maxUnsentAttempts || r.possibleRuns >= max(r.route.MaxAttempts, 1) {
		return false
	}
	return r.lastUnsent || r.isRetryGranted || r.pipeline.RetryBudgets.Spend(r.pipeline.Clock(), r.service.Name)
}

// attempt sends the request to the server, and relays the answer when it is final.
func (r *run) attempt(ctx context.Context, choice lrbalance.Choice, server lrfleet.Server) verdict {
	p := r.pipeline
	began := p.Clock()
	r.promptComputed, r.answerBegun, r.isRetryGranted = false, false, false
	r.attemptAt, r.firstEventAt = began, time.Time{}
	defer func() { p.Releases.End(r.release) }()
	defer func() { p.Balancer.End(choice, r.promptComputed) }()
	decision := p.Quarantine.Begin(began, r.traits)
	if decision.Admission == lrquarantine.Rejected {
		r.rejection = &decision
		p.Notices.Return(began, startedServer(server))
		return mustFail
	}
	r.attempts++
	p.Ejector.Started(began, server.ID)
	p.Releases.Sent(began, &r.release, lrcanary.Server{ID: server.ID, Release: server.Release}, r.route.Name)
	sendCtx, current := r.monitor(ctx, began, choice, server)
	r.current = current
	defer current.end()
	reply, err := p.Backend.Send(sendCtx, Attempt{
		Request: r.Request, Server: server, MaxConnections: r.maxConnections(), Account: r.account.Name, CacheScope: r.cacheScope(server),
		Urgency: r.route.PriorityOf(r.account), TimeLeft: r.deadline.Sub(began), ResumeAfter: r.lastEventID,
		Version: server.Versions[r.Model], BeforeSend: r.sendCheck(), FetchFrom: r.fetchFrom(choice), SaveTo: r.saveTo(choice),
	})
	if lrconn.ErrHeldBack.Has(err) {
		return r.handleHeldBack(ctx, server, err)
	}
	r.lastUnsent = lrconn.ErrNotSent.Has(err)
	switch {
	case r.lastUnsent:
		p.Notices.Return(p.Clock(), startedServer(server))
		r.unsentAttempts++
	case err != nil || reply.Refusal == Accepted:
		r.possibleRuns++
	}
	if err != nil {
		return r.handleBroken(ctx, server, err)
	}
	defer reply.Close()
	r.received(false)
	r.observeNotice(began, server, reply)
	r.answerBegun = reply.Refusal == Accepted
	if r.Model != "" && reply.Version > 0 {
		p.Directory.RecordVersion(server.ID, r.Model, reply.Version)
	}
	if reply.Refusal == RefusedOtherServer {
		p.Directory.MarkDisplaced(server.ID)
	}
	if reply.Refusal != Accepted {
		if reply.Refusal != RefusedOtherVersion || r.versionMismatched {
			r.excluded[server.ID] = true
		}
		r.versionMismatched = r.versionMismatched || reply.Refusal == RefusedOtherVersion
		r.logAttempt(zerolog.WarnLevel, server, "refused").Str("refusal", string(reply.Refusal)).Int("status", reply.Status).Msg("request: sent")
		p.Observer.Attempted("refused")
		return mayRetry
	}
	if r.route.Kind == lrtable.Streaming && reply.IsSuccess() {
		return r.relayStream(ctx, choice, server, reply)
	}
	return r.relayAnswer(ctx, choice, server, reply)
}

// sendCheck returns the check that runs just before an attempt is sent: the request must have time left and the choice of the server must
// be recent. It uses PauseClock, so that the time of a pause of the process counts.
func (r *run) sendCheck() func() error {
	p := r.pipeline
	chosenAt := p.PauseClock()
	return func() error {
		now := p.PauseClock()
		switch {
		case now.After(r.pauseDeadline):
			return errRouteTimeout
		case now.Sub(chosenAt) > maxChoiceAge:
			return errStaleChoice
		default:
			return nil
		}
	}
}

// handleHeldBack handles an attempt that was not sent because this instance had been paused. The server is
// neither excluded nor ejected for it.
func (r *run) handleHeldBack(ctx context.Context, server lrfleet.Server, err error) verdict {
	r.lastUnsent = true
	r.unsentAttempts++
	r.pipeline.Notices.Return(r.pipeline.Clock(), startedServer(server))
	if ctx.Err() == nil && r.current.isGivenUp.Load() {
		return r.handleUnresponsive(server)
	}
	r.pipeline.Observer.Attempted("heldBack")
	r.logAttempt(zerolog.WarnLevel, server, "heldBack").Err(err).Msg("request: sent")
	if ctx.Err() != nil || !errors.Is(err, errStaleChoice) {
		return mustFail
	}
	return mayRetry
}

// handleBroken handles an attempt that ended without a complete answer.
func (r *run) handleBroken(ctx context.Context, server lrfleet.Server, err error) verdict {
	p := r.pipeline
	if ctx.Err() == nil && r.current.isGivenUp.Load() {
		return r.handleUnresponsive(server)
	}
	r.excluded[server.ID] = true
	p.Observer.Attempted("broken")
	r.recordBroken(ctx, server, err)
	r.logAttempt(zerolog.WarnLevel, server, "broken").Err(err).Bool("sent", !r.lastUnsent).Bool("begun", r.answerBegun).
		Str("digest", r.Digest).Strs("parts", r.loggedParts()).Msg("request: sent")
	if ctx.Err() != nil {
		return mustFail
	}
	if lrconn.ErrRefused.Has(err) {
		p.Ejector.Refused(p.Clock(), server.ID)
		return mayRetry
	}
	if p.Ejector.Failed(p.Clock(), server.ID) {
		p.Log.Warn().Str("server", server.ID).Msg("backend server: ejected")
	}
	if r.lastUnsent {
		return mayRetry
	}
	p.Quarantine.Crashed(p.Clock(), startOf(server), r.traits)
	if r.route.IsRetryable() {
		return mayRetry
	}
	return mustFail
}

// loggedParts returns the IDs of the first parts of the prompt that other requests may share.
func (r *run) loggedParts() []string { return r.sharedParts(maxLoggedParts) }

// startOf returns a name that differs between the starts of the server.
func startOf(server lrfleet.Server) string {
	return server.ID + "/" + strconv.FormatInt(server.Incarnation, 36)
}

func (r *run) logAttempt(level zerolog.Level, server lrfleet.Server, outcome string) *zerolog.Event {
	return r.pipeline.Log.WithLevel(level).Str("request", r.ID).Str("route", r.route.Name).Str("account", r.account.Name).
		Str("server", server.ID).Int("sends", r.attempts).Str("outcome", outcome).Time("received", r.Received.Round(time.Millisecond))
}
