package lrservice

import (
	"context"
	"net/http"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn/lrfloodtest"
)

const (
	// maxHeadAllocated bounds the memory for a head without end, and maxBodyAllocated that for a body, whose buffer grows by doubling.
	maxHeadAllocated = 4 << 20
	maxBodyAllocated = 4 << 20
)

// TestEndlessAnswersAreBounded calls a plain service that sends bytes without end, in the head of its answer or in the body.
func TestEndlessAnswersAreBounded(t *testing.T) {
	call := func(t *testing.T, answer lrfloodtest.Answer, maxAllocated uint64) {
		t.Helper()
		address := lrfloodtest.Start(t, answer)
		lrfloodtest.RequireBounded(t, maxAllocated, func(ctx context.Context) error {
			_, err := NewClient(maxBytes).Call(ctx, address, Request{Method: http.MethodPost, Path: "/", Body: []byte("body")})
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
