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

// scriptedServer answers each request on a connection with the next of its texts, where $ID stands for the request's
// identity. A text that ends with "!" closes the connection, and one with "#" resets it.
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

const whole = "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nContent-Length: 2\r\n\r\nok"

func newTestPool() *Pool {
	return NewPool(Options{IDHeader: "Test-Id", DialTimeout: time.Second, SilenceTimeout: time.Second}, time.Now)
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

func TestKeptConnectionServesTheNextRequest(t *testing.T) {
	address, accepted := scriptedServer(t, whole, whole)
	p := newTestPool()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, p, address, id)
		requireEqual(t, err, nil)
		requireEqual(t, body, "ok")
	}
	requireEqual(t, *accepted, 1)
}

// TestAnswerOfAnotherRequestIsDropped answers the second request first with an answer that belongs to another one.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n\r\nother"
	address, _ := scriptedServer(t, whole, foreign+whole)
	p := newTestPool()
	_, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	body, err := do(t, p, address, "2")
	requireEqual(t, err, nil)
	requireEqual(t, body, "ok")
}

// TestBytesThatNobodyAskedFor finds bytes behind an answer and does not use the connection again.
func TestBytesThatNobodyAskedFor(t *testing.T) {
	address, accepted := scriptedServer(t, whole+"HTTP/1.1 200 OK\r\n", whole)
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
		whole            bool
	}{
		{"cut body", "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nContent-Length: 9\r\n\r\nok!", "ok", false},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n!", "ok", false},
		{"no length", "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\n\r\nok!", "ok", true},
		{"no answer", "!", "", false},
		{"no protocol", "rubbish\r\n\r\n", "", false},
		{"a missing identity", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, _ := scriptedServer(t, c.text)
			body, err := do(t, newTestPool(), address, "1")
			requireEqual(t, err == nil, c.whole)
			requireEqual(t, body, c.body)
		})
	}
}

func TestRequestIsNeverSentTwice(t *testing.T) {
	address, accepted := scriptedServer(t, whole, "#", whole)
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

func TestLimitOfConnections(t *testing.T) {
	address, _ := scriptedServer(t, whole, whole)
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
