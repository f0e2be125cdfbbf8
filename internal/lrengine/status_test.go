package lrengine

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus/lranswertest"
)

// TestAnswersNeedValidStatus guards against an answer whose status is none, such as 000, that is taken for a success: an order counts as carried
// out, a load as zero, and a stream as begun.
func TestAnswersNeedValidStatus(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	dialer := net.Dialer{}
	engines := NewDialer(&http.Client{Transport: NewTransport(1, dialer.DialContext)})
	for _, status := range lranswertest.Invalid() {
		t.Run(status, func(t *testing.T) {
			engine := engines.Dial(lranswertest.Start(t, status, ""))
			requireEqual(t, ErrBroken.Has(engine.Order(ctx, Order{})), true, "order broken")
			_, err := engine.Load(ctx)
			requireEqual(t, ErrBroken.Has(err), true, "load broken")
			_, err = engine.Generate(ctx, Request{})
			requireEqual(t, ErrBroken.Has(err), true, "stream broken")
		})
	}
	requireEqual(t, ctx.Err(), nil, "error of the context")
}
