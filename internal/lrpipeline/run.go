package lrpipeline

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrheld"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	// maxSends bounds how often one request is sent, refusals of backend servers included.
	maxSends = 6
	// maxUnsent bounds how often a request meets a server to which it cannot be sent. It is soon over, since nobody listens there,
	// and each such server is ejected.
	maxUnsent = 16
	// maxHeldAnswer bounds an answer that is held until it is whole, in bytes. A larger one is passed on as it comes.
	maxHeldAnswer = 1 << 20
	// pieceBytes is the size of the pieces in which a large answer is passed on.
	pieceBytes = 32 << 10
	// choiceLife is how long after the choice of a server a request may still leave for it. Connecting takes less.
	choiceLife = time.Second
	// unknownLength is the length of an answer that ends when it ends.
	unknownLength = -1
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
	hold *lrheld.Hold
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

// choose picks a backend server and counts the request there.
func (r *run) choose() (lrbalance.Choice, lrfleet.Server, bool) {
	p := r.pipeline
	now := p.Clock()
	servers := p.Directory.Candidates(now, r.service.Name, r.Model)
	engines := make([]lrbalance.Engine, 0, len(servers))
	byID := make(map[string]lrfleet.Server, len(servers))
	ejected := p.Ejector.Ejected(now)
	excluded := make(map[string]bool, len(r.excluded)+len(ejected))
	for id := range r.excluded {
		excluded[id] = true
	}
	if len(ejected) < len(servers) {
		for _, id := range ejected {
			excluded[id] = true
		}
	}
	silent := p.SilentZones(now)
	for _, s := range servers {
		byID[s.ID] = s.Server
		engines = append(engines, lrbalance.Engine{
			ID: s.ID, Zone: s.Zone, Slots: s.Slots, Version: s.Versions[r.Model], OutdatedFor: s.OutdatedFor,
			IsClosing: s.IsClosing, IsDoubtful: silent[s.Zone],
		})
	}
	request := lrbalance.Request{
		Scope: balanceScope(r.account.Name, r.Model), Parts: r.Parts, Tokens: r.PromptTokens, Excluded: excluded,
		Target: r.route.TargetLatency - now.Sub(r.Received), Instances: p.Instances(),
		Stores: r.keptStores(now),
	}
	choice, ok := p.Balancer.Choose(now, request, engines)
	if !ok {
		return choice, lrfleet.Server{}, false
	}
	r.choice = choice
	p.Log.Debug().Str("request", r.ID).Str("server", choice.Engine.ID).Int("rank", choice.Rank).Int("missing", choice.Missing).
		Dur("wait", choice.Wait).Int("candidates", choice.Candidates).Msg("request: placed")
	return choice, byID[choice.Engine.ID], true
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

// source returns the address of the server from which a part of the prompt can be fetched.
func (r *run) source(choice lrbalance.Choice) string {
	if choice.FromStore {
		return choice.Store.Address
	}
	if choice.Source == "" {
		return ""
	}
	s, ok := r.pipeline.Directory.Server(choice.Source)
	if !ok || s.IsLeaving {
		return ""
	}
	return s.Address
}

// saveTo returns the address of the kept store to which the server shall send what it computes of the prompt.
func (r *run) saveTo(choice lrbalance.Choice) string {
	if !choice.IsSaved {
		return ""
	}
	return choice.Store.Address
}

// keptStores returns the kept stores that answer, for requests with a model.
func (r *run) keptStores(now time.Time) []lrbalance.Store {
	if r.Model == "" {
		return nil
	}
	stores := make([]lrbalance.Store, 0, len(r.stores))
	for _, s := range r.stores {
		if r.pipeline.Kept.IsUsable(now, s.Address) {
			stores = append(stores, lrbalance.Store{
				Address: s.Address, Zone: s.Zone, TokensPerMilli: s.TokensPerMilli, Residency: r.pipeline.Kept.Residency(now, s.Address),
			})
		}
	}
	return stores
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

// relayAnswer passes a whole answer on. A failure is kept, since another server may do better.
func (r *run) relayAnswer(ctx context.Context, choice lrbalance.Choice, server lrfleet.Server, reply *Reply) verdict {
	p := r.pipeline
	r.noteComputed(choice)
	body, isWhole, err := r.hold.ReadAll(reply.Body, maxHeldAnswer)
	if err != nil {
		return r.broken(ctx, server, lrconn.ErrBroken.Wrap(err))
	}
	if !isWhole {
		return r.passOnLarge(ctx, server, reply, body)
	}
	if !reply.IsSuccess() {
		p.Observer.Attempted("failure")
		r.logAttempt(zerolog.WarnLevel, server, "failure").Int("status", reply.Status).Msg("request: sent")
		r.failure, r.failureBody = reply, body
		r.excluded[server.ID] = true
		if reply.Status >= 500 && r.route.Repeatable() {
			return mayRepeat
		}
		return mustEnd
	}
	p.Ejector.Succeeded(server.ID)
	p.Observer.Attempted("success")
	err = r.caller.Answer(reply, body)
	r.finish(server, outcomeOf(err))
	return isOver
}

// passOnLarge passes an answer on as it comes, since it is too large to be held until it is whole. It cannot be repeated any more: when
// it breaks, the caller sees that it is not whole.
func (r *run) passOnLarge(ctx context.Context, server lrfleet.Server, reply *Reply, held []byte) verdict {
	err := r.caller.Begin(reply, reply.Length)
	r.begun = true
	rest := io.MultiReader(bytes.NewReader(held), reply.Body)
	piece := make([]byte, pieceBytes)
	for err == nil {
		n, readErr := rest.Read(piece)
		if n > 0 {
			err = r.caller.Event(Event{Bytes: piece[:n]})
		}
		switch {
		case err != nil:
		case errors.Is(readErr, io.EOF):
			r.finish(server, "served")
			return isOver
		case readErr != nil:
			r.broken(ctx, server, lrconn.ErrBroken.Wrap(readErr))
			return mustEnd
		}
	}
	r.finish(server, outcomeOf(err))
	return isOver
}

// relayStream passes events on as they come. When the stream breaks it may go on at another server.
func (r *run) relayStream(ctx context.Context, choice lrbalance.Choice, server lrfleet.Server, reply *Reply) verdict {
	p := r.pipeline
	events := p.Backend.Events(reply)
	first := true
	for {
		event, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return r.broken(ctx, server, lrconn.ErrBroken.Wrap(err))
		}
		r.noteComputed(choice)
		if err != nil {
			return r.completeStream(server, reply)
		}
		if first {
			first = false
			p.Observer.FirstEvent(r.route.Name, p.Clock().Sub(r.Received))
		}
		err = r.passOn(reply, event)
		if err != nil {
			r.finish(server, "callerGone")
			return isOver
		}
	}
}

// noteComputed tells the balancer once that the prompt of the attempt is computed.
func (r *run) noteComputed(choice lrbalance.Choice) {
	if r.computed {
		return
	}
	r.computed = true
	r.pipeline.Balancer.FirstEvent(r.pipeline.Clock(), choice)
}

// passOn gives the caller one event, after the head of the stream where it is the first.
func (r *run) passOn(reply *Reply, event Event) error {
	if !r.begun {
		err := r.caller.Begin(reply, unknownLength)
		if err != nil {
			return err
		}
		r.begun = true
	}
	if event.ID != "" {
		r.lastEvent = event.ID
	}
	return r.caller.Event(event)
}

func (r *run) completeStream(server lrfleet.Server, reply *Reply) verdict {
	r.pipeline.Ejector.Succeeded(server.ID)
	r.pipeline.Observer.Attempted("success")
	if !r.begun {
		_ = r.caller.Begin(reply, unknownLength)
	}
	r.finish(server, "served")
	return isOver
}

func outcomeOf(err error) string {
	if err != nil {
		return "callerGone"
	}
	return "served"
}

func (r *run) finish(server lrfleet.Server, outcome string) {
	p := r.pipeline
	took := p.Clock().Sub(r.Received)
	p.Observer.Ended(r.route.Name, outcome, took)
	p.Observer.Prompted(r.promptTokens())
	r.logAttempt(zerolog.InfoLevel, server, outcome).Dur("took", took).Uint64("table", r.table).Int64("weights", server.Versions[r.Model]).
		Int("missing", r.choice.Missing).Int("fetched", r.choice.Fetched).Bool("fromStore", r.choice.FromStore).Bool("saved", r.choice.IsSaved).Int("rank", r.choice.Rank).Dur("expectedWait", r.choice.Wait).
		Int("candidates", r.choice.Candidates).Msg("request: ended")
}

func (r *run) promptTokens() PromptTokens {
	c := r.choice
	tokens := PromptTokens{Computed: c.Missing, Held: max(r.PromptTokens-c.Missing-c.Fetched, 0)}
	if c.FromStore {
		tokens.FromStore = c.Fetched
	} else {
		tokens.FromEngine = c.Fetched
	}
	if c.IsSaved {
		tokens.Saved = r.PromptTokens
	}
	return tokens
}

// end gives a request that no backend server has answered its last answer.
func (r *run) end(ctx context.Context, reason string) {
	p := r.pipeline
	if r.runs == 0 {
		p.Limiter.Return(r.account.Name, r.tokens)
	}
	timedOut := errors.Is(context.Cause(ctx), errRouteTimeout)
	gone := ctx.Err() != nil && !timedOut
	p.Observer.Ended(r.route.Name, reason, p.Clock().Sub(r.Received))
	switch {
	case gone:
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Int("runs", r.runs).Msg("request: caller has gone")
		r.caller.Abort()
	case r.begun:
		p.Log.Warn().Str("request", r.ID).Str("route", r.route.Name).Str("lastEvent", r.lastEvent).Bool("timedOut", timedOut).Msg("request: stream cut")
		r.caller.Abort()
	case r.failure != nil:
		_ = r.caller.Answer(r.failure, r.failureBody)
	default:
		p.refuse(r.admitted, r.caller, r.lastRefusal(timedOut))
	}
}

func (r *run) lastRefusal(timedOut bool) *lrerror.Error {
	switch {
	case r.runs == 0 && timedOut:
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun, "no backend server took the request in time; try again")
	case r.runs == 0:
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "no backend server can take the request now; try again").
			WithRetryAfter(busyRetryAfter)
	case timedOut:
		return lrerror.New(lrerror.KindTimeout, lrerror.Unknown, "the answer did not come in time; the request may have run")
	default:
		return lrerror.New(lrerror.KindBackendFailed, lrerror.Unknown, "the backend server broke off; the request may have run")
	}
}

// connections returns this instance's part of the connections that one server of the service accepts.
func (r *run) connections() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(r.service.MaxConnections/max(r.pipeline.Instances(), 1), 2)
}

// cacheScope names the cache that the request may share: that of its account and of the weights at the server.
func (r *run) cacheScope(server lrfleet.Server) string {
	if r.Model == "" {
		return ""
	}
	return scopeOf(r.account.Name, server.Versions[r.Model])
}

func (r *run) logAttempt(level zerolog.Level, server lrfleet.Server, outcome string) *zerolog.Event {
	return r.pipeline.Log.WithLevel(level).Str("request", r.ID).Str("route", r.route.Name).Str("account", r.account.Name).
		Str("server", server.ID).Int("sends", r.sends).Str("outcome", outcome).Time("received", r.Received.Round(time.Millisecond))
}
