package lrstream

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// attemptStream relays the events of one attempt from its engine to the sink.
type attemptStream struct {
	generation  *generation
	attempt     *Attempt
	incarnation string
	started     bool
}

// relay delivers the events of the engine until the last one. A watchdog cancels the stream if the engine sends nothing for too
// long. The watchdog is stopped while the caller receives an event.
func (s *attemptStream) relay(ctx context.Context) error {
	g := s.generation
	name := s.attempt.Placement.Engine
	engine, ok := g.runner.engines.Engine(name)
	if !ok {
		return lrengine.ErrNotSent.New("engine %s has left", name)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	eventTimeout := g.runner.options.EventTimeout
	watchdog := time.AfterFunc(eventTimeout+2*s.attempt.Placement.ExpectedWait, func() {
		cancel(lrengine.ErrStalled.New("engine %s was silent for more than %s", name, eventTimeout))
	})
	defer watchdog.Stop()
	events, err := engine.Generate(ctx, s.request())
	if err != nil {
		err = preferStallCause(ctx, err)
		s.cancelRequest(engine, err)
		return err
	}
	defer func() { _ = events.Close() }()
	for {
		event, err := events.Next()
		watchdog.Stop()
		done := false
		if err == nil {
			done, err = s.handleEvent(event)
		}
		if err != nil {
			err = preferStallCause(ctx, err)
			s.cancelRequest(engine, err)
		}
		if done || err != nil {
			return err
		}
		watchdog.Reset(eventTimeout)
	}
}

func (s *attemptStream) request() lrengine.Request {
	g := s.generation
	request := g.job.Engine
	request.RequestID = s.attempt.ID
	request.ResumeFrom = g.result.OutputTokens
	request.Generated = g.generated.String()
	request.ImportFrom = s.attempt.Placement.ImportFrom
	return request
}

// handleEvent checks one event and delivers its text. It reports whether the event was the last one.
func (s *attemptStream) handleEvent(event lrengine.Event) (bool, error) {
	g := s.generation
	if event.RequestID != s.attempt.ID {
		return false, lrengine.ErrProtocol.New("event of request %s instead of %s", event.RequestID, s.attempt.ID)
	}
	if event.Sequence != g.result.OutputTokens {
		return false, lrengine.ErrProtocol.New("event %d instead of %d", event.Sequence, g.result.OutputTokens)
	}
	if !s.started {
		s.recordFirstEvent(event)
	}
	if event.Done {
		g.result.FinishReason = event.FinishReason
		if g.result.FinishReason == "" {
			g.result.FinishReason = finishReasonStop
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

func (s *attemptStream) recordFirstEvent(event lrengine.Event) {
	g := s.generation
	now := g.runner.clock()
	s.started = true
	s.incarnation = event.Incarnation
	s.attempt.CachedTokens = event.CachedTokens
	s.attempt.QueuedTokens = event.QueuedTokens
	s.attempt.TimeToFirstToken = now.Sub(g.started)
	g.result.Outcome = lrerror.Ran
	if len(g.result.Attempts) == 0 {
		g.result.CachedTokens = event.CachedTokens
	}
	if g.result.TimeToFirstToken == 0 {
		g.result.TimeToFirstToken = s.attempt.TimeToFirstToken
	}
	g.runner.placer.Learn(now, lrroute.Feedback{
		Engine: s.attempt.Placement.Engine, Incarnation: event.Incarnation, Request: g.job.Route,
		CachedTokens: event.CachedTokens, QueuedTokens: event.QueuedTokens, TimeToFirstToken: s.attempt.TimeToFirstToken,
	})
}

// cancelRequest asks the engine in the background to stop the attempt, unless the error shows that it never started it.
func (s *attemptStream) cancelRequest(engine lrengine.Engine, err error) {
	if lrengine.ErrNotSent.Has(err) || lrengine.ErrRefused.Has(err) {
		return
	}
	cancelSlots := s.generation.runner.cancelSlots
	select {
	case cancelSlots <- struct{}{}:
	default:
		return
	}
	id := s.attempt.ID
	lrsupervise.Go(s.generation.runner.log, "cancelRequest", func() {
		defer func() { <-cancelSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id)
	})
}

// preferStallCause returns the cause of the context if the watchdog canceled it because the engine stalled, and err otherwise.
func preferStallCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause != nil && lrengine.ErrStalled.Has(cause) && !lrengine.ErrNotSent.Has(err) {
		return cause
	}
	return err
}

// deliveryError means that the text could not be written to the caller. It is not a failure of the engine.
type deliveryError struct{ cause error }

// Error returns the message of the cause with a prefix.
func (e *deliveryError) Error() string { return "deliver to caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *deliveryError) Unwrap() error { return e.cause }
