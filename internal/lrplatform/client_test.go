package lrplatform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// maxHeadAllocated bounds the memory for a head without end, and maxBodyAllocated that for a body, whose buffer grows by doubling.
	maxHeadAllocated = 4 << 20
	maxBodyAllocated = 8 * maxAnswerBytes
)

// TestEndlessAnswersAreBounded calls a platform that sends bytes without end, in the head of its answer or in the body.
func TestEndlessAnswersAreBounded(t *testing.T) {
	call := func(t *testing.T, answer [2]string, maxAllocated uint64) {
		t.Helper()
		client := NewClient("http://" + startFlood(t, answer[0], answer[1]))
		requireBounded(t, maxAllocated, func(ctx context.Context) error {
			_, err := client.Instances(ctx)
			return err
		})
		requireBounded(t, maxAllocated, func(ctx context.Context) error {
			_, err := client.Get(ctx, KindHead, HeadName)
			return err
		})
	}
	for name, answer := range endlessHeads() {
		t.Run(name, func(t *testing.T) { call(t, answer, maxHeadAllocated) })
	}
	for name, answer := range endlessBodies() {
		t.Run("body "+name, func(t *testing.T) { call(t, answer, maxBodyAllocated) })
	}
}

// TestMalformedInstancesAreOmitted lists an entry of another writer beside good ones. Decoding the list at once failed, so that no change of
// the list was seen while the entry stayed.
func TestMalformedInstancesAreOmitted(t *testing.T) {
	const good = `{"name":"a","role":"engine","address":"127.0.0.1:80","zone":"z"}`
	for name, odd := range map[string]string{
		"deep": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "deep field": `{"name":"b","role":"engine","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}",
		"null": "null", "a number": "1e999", "a text": `"]["`, "no name": `{"role":"engine","address":"127.0.0.1:80"}`,
		"another role": `{"name":"b","role":"oracle","address":"127.0.0.1:80"}`, "a port out of range": `{"name":"b","role":"engine","address":"127.0.0.1:70000"}`,
		"no port": `{"name":"b","role":"router","peerAddress":"127.0.0.1:0"}`, "another type": `{"name":"b","role":"engine","leaving":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "["+odd+","+good+"]")
			}))
			defer server.Close()
			instances, err := NewClient(server.URL).Instances(t.Context())
			if err != nil || len(instances) != 1 || instances[0].Name != "a" {
				t.Fatalf("got %v, %v", instances, err)
			}
		})
	}
}

// startFlood starts a server that answers each request with the beginning, and then with the text until the connection is closed.
func startFlood(t *testing.T, begin, again string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	text := []byte(again)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.WriteString(c, begin)
				}
				for err == nil {
					_, err = c.Write(text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// endlessHeads returns the beginnings of answers whose heads never end, with the text that follows again and again.
func endlessHeads() map[string][2]string {
	many := strings.Repeat("x", 16<<10)
	return map[string][2]string{
		"status line": {"HTTP/1.1 200 ", many}, "one header": {"HTTP/1.1 200 OK\r\nField: ", many},
		"many headers":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("Field: value\r\n", 1000)},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early\r\nLink: a\r\n\r\n", 500)}, "rubbish": {"", many},
		"trailers": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnull\r\n0\r\n", strings.Repeat("Field: value\r\n", 1000)},
	}
}

// endlessBodies returns the same of bodies.
func endlessBodies() map[string][2]string {
	many := strings.Repeat("x", 16<<10)
	return map[string][2]string{
		"with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n\"", many}, "without a length": {"HTTP/1.1 200 OK\r\n\r\n\"", many},
		"in chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\"\r\n", "4000\r\n" + many + "\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", many},
	}
}

// requireBounded checks that the call fails in time and with no more memory than allowed.
func requireBounded(t *testing.T, maxAllocated uint64, call func(ctx context.Context) error) {
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
