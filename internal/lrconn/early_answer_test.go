package lrconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus/lranswertest"
)

// TestEarlyAnswerThatIsResetIsNotComplete guards against a long upload that a server answers at once, with a part of a body without a length, and
// resets while it is still being written. That part must not look complete.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const tries = 8
	for _, size := range []int{100, 4 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		for _, server := range lranswertest.EarlyServers(size) {
			t.Run(fmt.Sprint(size, " ", server), func(t *testing.T) {
				address := server.Start(t)
				for range tries {
					requireBroken(t, address, body)
				}
			})
		}
	}
}

func requireBroken(t *testing.T, address string, body []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := newTestPool().Do(ctx, address, 0, Request{Method: "POST", Target: "/x", Host: "h", Body: body})
	if err != nil {
		return
	}
	defer answer.Close()
	data, err := io.ReadAll(answer.Body)
	if err == nil {
		t.Fatalf("status %d with %q", answer.Status, data)
	}
}
