package lrservice

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus/lranswertest"
)

// TestEarlyAnswerThatIsResetIsNotComplete guards against a long upload that a service answers at once, with a part of a body without a length, and
// resets while it is still being written. The write got the error of the reset, the read the end of the connection, and callers the part as a
// complete answer.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const tries = 8
	for _, size := range []int{100, 100 << 10, 4 << 20, 32 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		for _, server := range lranswertest.EarlyServers(size) {
			t.Run(fmt.Sprint(size, " ", server), func(t *testing.T) {
				address := server.Start(t)
				for range tries {
					response, err := NewClient(maxBytes).Call(context.Background(), address, Request{Method: http.MethodPost, Path: "/", Body: body})
					if err == nil {
						t.Fatalf("status %d with %q", response.Status, response.Body)
					}
				}
			})
		}
	}
}
