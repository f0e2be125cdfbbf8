package lrpipeline

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// crashingBackend is a Backend whose servers crash when they begin to answer a request with the crashing part.
type crashingBackend struct {
	scriptedBackend
	crashing string
	clock    func() time.Time
	// crashedAt holds the times of the crashes.
	crashedAt []time.Time
}

// Send breaks off the answer to a request with the crashing part and completes all others.
func (c *crashingBackend) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	c.steps = []step{{events: []string{"1", "2"}}}
	for _, b := range attempt.Request.Blocks {
		if b.ID == c.crashing {
			c.crashedAt = append(c.crashedAt, c.clock())
			c.steps = []step{{broken: true}}
		}
	}
	return c.scriptedBackend.Send(ctx, attempt)
}

// Events returns a reader of the events in the body of a stream.
func (c *crashingBackend) Events(reply *Reply) EventReader { return c.scriptedBackend.Events(reply) }

// servePrompt serves a streaming request whose prompt consists of the parts.
func (w *fixture) servePrompt(parts ...string) *recordingCaller {
	request := w.request("resume")
	request.Digest = fmt.Sprint(parts)
	request.HasTokens, request.PromptTokens = true, 1
	for _, p := range parts {
		request.Blocks = append(request.Blocks, lrbalance.Block{ID: p, Tokens: 1})
	}
	caller := &recordingCaller{}
	w.pipeline.Serve(context.Background(), request, caller)
	return caller
}

// TestPartOfPromptThatCrashesServersIsStopped guards against the failure that unlike requests crash one server after the other because
// they share a part of the prompt that the servers crash on.
func TestPartOfPromptThatCrashesServersIsStopped(t *testing.T) {
	const (
		rounds       = 200
		roundLength  = 150 * time.Millisecond
		crashes      = 5
		detection    = 3 * time.Second
		maxSentAfter = 3
	)
	w := newFixture(t)
	w.budget.left = 10 * rounds
	backend := &crashingBackend{crashing: "crashing", clock: func() time.Time { return w.now }}
	w.pipeline.Backend = backend
	for n := range rounds {
		w.now = w.now.Add(roundLength)
		w.servePrompt("first", "second", "crashing", fmt.Sprint("own ", n))
		for _, second := range []string{"second", "other"} {
			caller := w.servePrompt("first", second, fmt.Sprint("sound ", n, second))
			requireEqual(t, caller.body, "12")
		}
	}
	late := 0
	for _, at := range backend.crashedAt {
		if at.After(backend.crashedAt[crashes-1].Add(detection)) {
			late++
		}
	}
	if late > maxSentAfter {
		t.Fatalf("%d requests with the part reached servers later than %s after the fifth crash, of %d in all", late, detection, len(backend.crashedAt))
	}
}
