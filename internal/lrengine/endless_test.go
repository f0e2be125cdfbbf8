package lrengine

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn/lrfloodtest"
)

const (
	// maxHeadAllocated bounds the memory for a head without end, and maxBodyAllocated that for a body, whose buffer grows by doubling.
	maxHeadAllocated = 4 << 20
	maxBodyAllocated = 8 * maxAnswerBytes
)

// TestEndlessAnswersAreBounded calls an engine that sends bytes without end, in the head of its answer, in the body, or in an event. Instances
// that kept them ran out of memory.
func TestEndlessAnswersAreBounded(t *testing.T) {
	dialer := net.Dialer{}
	engines := NewDialer(&http.Client{Transport: NewTransport(1, dialer.DialContext)})
	call := func(t *testing.T, answer lrfloodtest.Answer, maxAllocated uint64) {
		t.Helper()
		engine := engines.Dial(lrfloodtest.Start(t, answer))
		lrfloodtest.RequireBounded(t, maxAllocated, func(ctx context.Context) error {
			_, err := engine.Load(ctx)
			return err
		})
		lrfloodtest.RequireBounded(t, maxAllocated, func(ctx context.Context) error {
			stream, err := engine.Generate(ctx, Request{})
			if err != nil {
				return err
			}
			_, err = stream.Next()
			_ = stream.Close()
			return err
		})
	}
	for name, answer := range lrfloodtest.Heads() {
		t.Run(name, func(t *testing.T) { call(t, answer, maxHeadAllocated) })
	}
	for name, answer := range lrfloodtest.Bodies() {
		t.Run("body "+name, func(t *testing.T) { call(t, answer, maxBodyAllocated) })
	}
}
