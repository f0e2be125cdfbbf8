// Package lrfloodtest provides servers for tests that answer without end.
package lrfloodtest

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// An Answer begins with a text, after which another one follows again and again.
type Answer struct{ Begin, Again string }

// Start starts a server that answers each request without end, until the connection is closed, and returns its address.
func Start(t *testing.T, answer Answer) string {
	t.Helper()
	text := []byte(answer.Again)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, answer.Begin)
		for err == nil {
			_, err = c.Write(text)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Heads returns answers whose heads never end.
func Heads() map[string]Answer {
	many := strings.Repeat("x", 16<<10)
	return map[string]Answer{
		"status line": {"HTTP/1.1 200 ", many}, "one header": {"HTTP/1.1 200 OK\r\nField: ", many},
		"many headers":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("Field: value\r\n", 1000)},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early\r\nLink: a\r\n\r\n", 500)}, "rubbish": {"", many},
		"trailers": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnull\r\n0\r\n", strings.Repeat("Field: value\r\n", 1000)},
	}
}

// Bodies returns answers whose bodies never end.
func Bodies() map[string]Answer {
	many := strings.Repeat("x", 16<<10)
	return map[string]Answer{
		"with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n\"", many}, "without a length": {"HTTP/1.1 200 OK\r\n\r\n\"", many},
		"in chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\"\r\n", "4000\r\n" + many + "\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", many},
	}
}

// RequireBounded checks that the call fails in time and with no more memory than allowed.
func RequireBounded(t *testing.T, maxAllocated uint64, call func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := call(ctx)
	runtime.ReadMemStats(&after)
	if err == nil || after.TotalAlloc-before.TotalAlloc > maxAllocated {
		t.Fatalf("error %v after %d MB, at most %d are allowed", err, (after.TotalAlloc-before.TotalAlloc)>>20, maxAllocated>>20)
	}
}
