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
	// maxHeldAnswer bounds an answer that is held until it is whole, in bytes. A larger one is passed on as it comes.
	maxHeldAnswer = 1 << 20
	// pieceBytes is the size of the pieces in which a large answer is passed on.
	pieceBytes = 32 << 10
	// unknownLength is the length of an answer that ends when it ends.
	unknownLength = -1
)

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
