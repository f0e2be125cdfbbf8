package lrservice

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus/lranswertest"
)

// TestAnswersNeedValidStatus guards against an answer whose status is none, such as 000, that callers get as the answer of a service and that is
// kept as the outcome of a paid action.
func TestAnswersNeedValidStatus(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for _, status := range lranswertest.Invalid() {
		t.Run(status, func(t *testing.T) {
			_, err := NewClient(maxBytes).Call(ctx, lranswertest.Start(t, status, ""), Request{Method: http.MethodPost, Path: "/", Body: []byte("body")})
			requireEqual(t, ErrUnknown.Has(err), true, "outcome unknown")
		})
	}
	requireEqual(t, ctx.Err(), nil, "error of the context")
}
