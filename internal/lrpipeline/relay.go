package lrpipeline

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

const (
	// maxBufferedAnswerBytes is the size up to which an answer is buffered until it is complete. A larger one is relayed as it arrives.
	maxBufferedAnswerBytes = 1 << 20
	// chunkBytes is the size of the buffer through which a large answer is relayed.
	chunkBytes = 32 << 10
	// unknownLength is the length of an answer whose length is not known in advance.
	unknownLength = -1
)

// relayAnswer sends a complete answer to the caller. An error answer is kept and sent only if no other server succeeds.
func (r *run) relayAnswer(ctx context.Context, choice lrbalance.Choice, server lrfleet.Server, reply *Reply) verdict {
	r.received(true)
	if reply.IsSuccess() && r.Model == "" {
		// The answer of a model arrives after the generation, and an error answer may come at once: neither tells how fast the server is.
		r.pipeline.Balancer.FirstEventAfter(r.pipeline.Clock(), choice)
	}
	r.noteComputed(choice)
	if r.headSent {
		// The stream has begun: an error answer cannot be relayed any more.
		return r.handleFailure(server, reply)
	}
	body, isComplete, err := r.memory.ReadAll(reply.Body, maxBufferedAnswerBytes)
	if err != nil {
		return r.handleBroken(ctx, server, lrconn.ErrBroken.Wrap(err))
	}
	if reply.IsUnprovenRefusal && !r.route.IsRetryable() {
		// The caller would send the request again, and it would run twice.
		return r.handleFailure(server, reply)
	}
	if !isComplete {
		return r.relayLarge(ctx, server, reply, body)
	}
	if !reply.IsSuccess() {
		r.failure, r.failureBody = reply, body
		return r.handleFailure(server, reply)
	}
	r.observeFirstEvent()
	r.succeeded(server)
	err = r.caller.Answer(reply, body)
	r.finish(server, outcomeOf(err))
	return isDone
}

// handleFailure handles an error answer of a server that ran the request.
func (r *run) handleFailure(server lrfleet.Server, reply *Reply) verdict {
	r.pipeline.Observer.Attempted("failure")
	r.recordOutcome(server, reply.Status >= 500)
	r.logAttempt(zerolog.WarnLevel, server, "failure").Int("status", reply.Status).Msg("request: sent")
	r.excluded[server.ID] = true
	if (reply.Status >= 500 || reply.IsUnprovenRefusal) && r.route.IsRetryable() {
		return mayRetry
	}
	return mustFail
}

// relayLarge relays an answer as it arrives, because it is too large to be buffered until it is complete. The request cannot be retried
// after that: when the answer breaks off, the caller sees that it is incomplete.
func (r *run) relayLarge(ctx context.Context, server lrfleet.Server, reply *Reply, buffered []byte) verdict {
	err := r.caller.Begin(reply, reply.Length)
	r.headSent = true
	rest := io.MultiReader(bytes.NewReader(buffered), reply.Body)
	chunk := make([]byte, chunkBytes)
	for err == nil {
		n, readErr := rest.Read(chunk)
		if n > 0 {
			r.received(false)
			err = r.caller.Event(Event{Bytes: chunk[:n]})
		}
		switch {
		case err != nil:
		case errors.Is(readErr, io.EOF):
			r.succeeded(server)
			r.finish(server, "served")
			return isDone
		case readErr != nil:
			r.handleBroken(ctx, server, lrconn.ErrBroken.Wrap(readErr))
			return mustFail
		}
	}
	r.recordOutcome(server, false)
	r.finish(server, outcomeOf(err))
	return isDone
}

// relayStream relays events as they arrive. A stream that breaks may be resumed at another server.
func (r *run) relayStream(ctx context.Context, choice lrbalance.Choice, server lrfleet.Server, reply *Reply) verdict {
	p := r.pipeline
	events := p.Backend.Events(reply)
	first := true
	for {
		event, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return r.handleBroken(ctx, server, lrconn.ErrBroken.Wrap(err))
		}
		if err != nil && !r.headSent && reply.EndsWithConnection {
			return r.handleBroken(ctx, server, lrconn.ErrBroken.New("the stream ended with its connection before the first event"))
		}
		r.received(first)
		r.noteComputed(choice)
		if err != nil {
			return r.completeStream(server, reply)
		}
		if first {
			first = false
			p.Balancer.FirstEventAfter(p.Clock(), choice)
			r.observeFirstEvent()
			r.firstEventAt = p.Clock()
			p.Observer.FirstEvent(r.route.Name, p.Clock().Sub(r.Received))
		}
		err = r.relayEvent(reply, event)
		if err != nil {
			r.recordOutcome(server, false)
			r.finish(server, "callerGone")
			return isDone
		}
	}
}

// noteComputed reports to the balancer, once for each attempt, that the prompt has been computed.
func (r *run) noteComputed(choice lrbalance.Choice) {
	if r.promptComputed {
		return
	}
	r.promptComputed = true
	r.pipeline.Balancer.FirstEvent(r.pipeline.Clock(), choice)
}

// relayEvent sends one event to the caller, preceded by the head of the stream if the caller has none yet.
func (r *run) relayEvent(reply *Reply, event Event) error {
	if !r.headSent {
		err := r.caller.Begin(reply, unknownLength)
		if err != nil {
			return err
		}
		r.headSent = true
	}
	if event.ID != "" {
		r.lastEventID = event.ID
	}
	return r.caller.Event(event)
}

func (r *run) completeStream(server lrfleet.Server, reply *Reply) verdict {
	r.succeeded(server)
	if !r.headSent {
		_ = r.caller.Begin(reply, unknownLength)
	}
	r.finish(server, "served")
	return isDone
}

// succeeded records that the server has completed the request.
func (r *run) succeeded(server lrfleet.Server) {
	p := r.pipeline
	r.recordOutcome(server, false)
	p.Ejector.Succeeded(server.ID)
	p.Quarantine.Completed(p.Clock(), r.traits)
	p.Observer.Attempted("success")
}
