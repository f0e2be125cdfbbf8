package lrstream

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// source takes the events of one attempt from its engine.
type source struct {
	generation  *generation
	attempt     *Attempt
	incarnation string
	started     bool
}

// stream delivers the events of the engine until the last one. The engine's silence ends it through the watchdog, which
// does not run while the caller takes an event.
func (s *source) stream(ctx context.Context) error {
	g := s.generation
	name := s.attempt.Placement.Engine
	engine, ok := g.runner.engines.Engine(name)
	if !ok {
		return lrengine.ErrNotSent.New("engine %s has left", name)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := g.runner.options.EventTimeout
	watchdog := time.AfterFunc(silence+2*s.attempt.Placement.ExpectedWait, func() {
		cancel(lrengine.ErrSilent.New("engine %s was silent for more than %s", name, silence))
	})
	defer watchdog.Stop()
	events, err := engine.Generate(ctx, s.request())
	if err != nil {
		err = causeOr(ctx, err)
		s.cancelOn(engine, err)
		return err
	}
	defer func() { _ = events.Close() }()
	for {
		event, err := events.Next()
		watchdog.Stop()
		done := false
		if err == nil {
			done, err = s.take(event)
		}
		if err != nil {
			err = causeOr(ctx, err)
			s.cancelOn(engine, err)
		}
		if done || err != nil {
			return err
		}
		watchdog.Reset(silence)
	}
}

func (s *source) request() lrengine.Request {
	g := s.generation
	request := g.job.Engine
	request.RequestID = s.attempt.ID
	request.ResumeFrom = g.result.OutputTokens
	request.Generated = g.generated.String()
	request.ImportFrom = s.attempt.Placement.ImportFrom
	return request
}

// take checks and delivers one event. It reports whether it was the last one.
func (s *source) take(event lrengine.Event) (bool, error) {
	g := s.generation
	if event.RequestID != s.attempt.ID {
		return false, lrengine.ErrProtocol.New("event of request %s instead of %s", event.RequestID, s.attempt.ID)
	}
	if event.Sequence != g.result.OutputTokens {
		return false, lrengine.ErrProtocol.New("event %d instead of %d", event.Sequence, g.result.OutputTokens)
	}
	if !s.started {
		s.noteFirst(event)
	}
	if event.Done {
		g.result.FinishReason = event.FinishReason
		if g.result.FinishReason == "" {
			g.result.FinishReason = finishStop
		}
		return true, nil
	}
	if g.result.OutputTokens >= g.job.Engine.MaxTokens {
		return false, lrengine.ErrProtocol.New("more than %d tokens", g.job.Engine.MaxTokens)
	}
	g.result.OutputTokens++
	_, _ = g.generated.WriteString(event.Text)
	err := g.sink.Deliver(event.Text)
	if err != nil {
		return false, &deliveryError{cause: err}
	}
	return false, nil
}

func (s *source) noteFirst(event lrengine.Event) {
	g := s.generation
	now := g.runner.clock()
	s.started = true
	s.incarnation = event.Incarnation
	s.attempt.CachedTokens = event.CachedTokens
	s.attempt.QueuedTokens = event.QueuedTokens
	s.attempt.FirstToken = now.Sub(g.started)
	g.result.Outcome = lrerror.Ran
	if len(g.result.Attempts) == 0 {
		g.result.CachedTokens = event.CachedTokens
	}
	if g.result.FirstToken == 0 {
		g.result.FirstToken = s.attempt.FirstToken
	}
	g.runner.placer.Learn(now, lrroute.Feedback{
		Engine: s.attempt.Placement.Engine, Incarnation: event.Incarnation, Request: g.job.Route,
		CachedTokens: event.CachedTokens, QueuedTokens: event.QueuedTokens, FirstToken: s.attempt.FirstToken,
	})
}

// cancelOn tells an engine that may still be working on the attempt that nobody waits for it.
func (s *source) cancelOn(engine lrengine.Engine, err error) {
	if lrengine.ErrNotSent.Has(err) || lrengine.ErrRefused.Has(err) {
		return
	}
	cancels := s.generation.runner.cancels
	select {
	case cancels <- struct{}{}:
	default:
		return
	}
	id := s.attempt.ID
	lrsupervise.Go(s.generation.runner.log, "cancelRequest", func() {
		defer func() { <-cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id)
	})
}

// causeOr returns the silence of the engine if it ended the context, and err otherwise.
func causeOr(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause != nil && lrengine.ErrSilent.Has(cause) && !lrengine.ErrNotSent.Has(err) {
		return cause
	}
	return err
}

type deliveryError struct{ cause error }

// Error returns the text of the cause.
func (e *deliveryError) Error() string { return "deliver to caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *deliveryError) Unwrap() error { return e.cause }
