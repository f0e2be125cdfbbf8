package lrconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scriptedServer answers each request with the next of its texts, in which $ID stands for the ID of the request. A text that ends with "!"
// closes the connection, and one that ends with "#" or "#!" resets it. accepted counts the connections.
func scriptedServer(t *testing.T, texts ...string) (address string, accepted *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	count := 0
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count++
			go serveScript(c, next)
		}
	}()
	return l.Addr().String(), &count
}

func serveScript(c net.Conn, next chan string) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := strings.ReplaceAll(<-next, "$ID", request.Header.Get("Test-Id"))
		body, closes := strings.CutSuffix(text, "!")
		body, resets := strings.CutSuffix(body, "#")
		_, _ = io.WriteString(c, body)
		if resets {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if closes || resets {
			_ = c.Close()
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nContent-Length: 2\r\n\r\nok"

func newTestPool() *Pool {
	return NewPool(Options{IDHeader: "Test-Id", DialTimeout: time.Second, AckTimeout: time.Second}, time.Now)
}

func do(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := p.Do(ctx, address, 0, Request{
		Method: "POST", Target: "/x", Host: "h", ID: id, Header: []Field{{"Test-Id", id}}, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// TestConnectionIsReused sends two requests over one connection.
func TestConnectionIsReused(t *testing.T) {
	address, accepted := scriptedServer(t, okAnswer, okAnswer)
	p := newTestPool()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, p, address, id)
		requireEqual(t, err, nil)
		requireEqual(t, body, "ok")
	}
	requireEqual(t, *accepted, 1)
}

// TestAnswerToAnotherRequestIsDiscarded sends an answer to another request before the answer to the second request.
func TestAnswerToAnotherRequestIsDiscarded(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n\r\nother"
	address, _ := scriptedServer(t, okAnswer, other+okAnswer)
	p := newTestPool()
	_, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	body, err := do(t, p, address, "2")
	requireEqual(t, err, nil)
	requireEqual(t, body, "ok")
}

// TestConnectionWithUnexpectedBytesIsNotReused sends bytes after an answer. The next request must use a new connection.
func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	address, accepted := scriptedServer(t, okAnswer+"HTTP/1.1 200 OK\r\n", okAnswer)
	p := newTestPool()
	_, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	time.Sleep(10 * time.Millisecond)
	body, err := do(t, p, address, "2")
	requireEqual(t, err, nil)
	requireEqual(t, body, "ok")
	requireEqual(t, *accepted, 2)
}

func TestBrokenAnswers(t *testing.T) {
	cases := []struct {
		name, text, body string
		complete         bool
	}{
		{"truncated body", "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nContent-Length: 9\r\n\r\nok!", "ok", false},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n!", "ok", false},
		{"no length", "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\n\r\nok!", "ok", true},
		{"no answer", "!", "", false},
		{"not HTTP", "rubbish\r\n\r\n", "", false},
		{"missing ID", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, _ := scriptedServer(t, c.text)
			body, err := do(t, newTestPool(), address, "1")
			requireEqual(t, err == nil, c.complete)
			requireEqual(t, body, c.body)
		})
	}
}

// TestRequestIsNeverSentTwice resets a reused connection instead of answering. The request may have run, so it must not be sent again.
func TestRequestIsNeverSentTwice(t *testing.T) {
	address, accepted := scriptedServer(t, okAnswer, "#", okAnswer)
	p := newTestPool()
	_, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	_, err = do(t, p, address, "2")
	requireEqual(t, ErrBroken.Has(err), true)
	requireEqual(t, *accepted, 1)
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireEqual(t, err, nil)
	address := l.Addr().String()
	requireEqual(t, l.Close(), nil)
	_, err = do(t, newTestPool(), address, "1")
	requireEqual(t, ErrNotSent.Has(err), true)
	requireEqual(t, ErrRefused.Has(err), true)
}

func TestConnectionLimit(t *testing.T) {
	address, _ := scriptedServer(t, okAnswer, okAnswer)
	p := newTestPool()
	request := Request{Method: "GET", Target: "/", Host: "h"}
	first, err := p.Do(context.Background(), address, 1, request)
	requireEqual(t, err, nil)
	_, err = p.Do(context.Background(), address, 1, request)
	requireEqual(t, ErrNotSent.Has(err), true)
	_, _ = io.Copy(io.Discard, first.Body)
	first.Close()
	second, err := p.Do(context.Background(), address, 1, request)
	requireEqual(t, err, nil)
	second.Close()
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	address, _ := scriptedServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := newTestPool().Do(ctx, address, 0, Request{Method: "GET", Target: "/", Host: "h"})
	requireEqual(t, ErrBroken.Has(err), true)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func requireTrue(t *testing.T, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Fatalf(format, args...)
	}
}
