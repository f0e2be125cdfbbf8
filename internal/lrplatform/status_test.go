package lrplatform

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus/lranswertest"
)

// TestAnswersNeedValidStatus guards against an answer whose status is none, such as 000, that is taken for a list without instances or for an
// acknowledged write.
func TestAnswersNeedValidStatus(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for _, status := range lranswertest.Invalid() {
		t.Run(status, func(t *testing.T) {
			address := lranswertest.StartText(t, func(*http.Request) string { return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n[]" })
			platform := NewClient("http://" + address)
			_, err := platform.Instances(ctx)
			if !ErrUnavailable.Has(err) {
				t.Errorf("list: %v", err)
			}
			err = platform.Delete(ctx, Object{Kind: KindLease, Name: "l", Version: 1})
			if !ErrUnknown.Has(err) {
				t.Errorf("write: %v", err)
			}
		})
	}
	if ctx.Err() != nil {
		t.Error(ctx.Err())
	}
}
