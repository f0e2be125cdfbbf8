package lrengine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// FuzzStream checks that events are read only from complete lines of valid JSON, and that each error has a class.
func FuzzStream(f *testing.F) {
	whole := `{"requestId":"r","sequence":0,"text":"a"}` + "\n" + `{"requestId":"r","sequence":1,"done":true}` + "\n"
	for _, text := range []string{"", whole, whole[:len(whole)-1], whole[:20], "\n\n", "null\n", "{}\n[", `{"text":"` + strings.Repeat("x", 70000)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := newStream(io.NopCloser(strings.NewReader(text)), func() {})
		lines := strings.SplitAfter(text, "\n")
		for n := 0; ; n++ {
			_, err := s.Next()
			if err != nil {
				requireClass(t, err)
				break
			}
			if !strings.HasSuffix(lines[n], "\n") || !json.Valid([]byte(lines[n])) {
				t.Fatalf("event read from %q", lines[n])
			}
		}
		_ = s.Close()
	})
}

func requireClass(t *testing.T, err error) {
	t.Helper()
	if !ErrBroken.Has(err) && !ErrProtocol.Has(err) {
		t.Fatalf("error without a class: %v", err)
	}
}

// TestStreamWithoutLengthNeedsItsLastEvent guards against a generation that ends with its connection, inside an event or between two, and is
// taken for complete. The streams have neither a length nor chunks.
func TestStreamWithoutLengthNeedsItsLastEvent(t *testing.T) {
	const first, last = `{"requestId":"r","sequence":0,"text":"a"}` + "\n", `{"requestId":"r","sequence":1,"done":true}` + "\n"
	cases := []struct {
		name, body string
		events     int
		isComplete bool
	}{
		{"complete", first + last, 2, true},
		{"ends between events", first, 1, false},
		{"ends inside an event", first + last[:20], 1, false},
		{"ends before the end of the last line", first + strings.TrimSpace(last), 1, false},
		{"ends before the first event", "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stream, err := NewDialer(http.DefaultClient).Dial(unframedServer(t, c.body)).Generate(context.Background(), Request{RequestID: "r"})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			isComplete := false
			for range c.events {
				event, err := stream.Next()
				if err != nil {
					t.Fatal(err)
				}
				isComplete = event.Done
			}
			if isComplete != c.isComplete {
				t.Fatalf("complete: got %t, want %t", isComplete, c.isComplete)
			}
			_, err = stream.Next()
			if !ErrBroken.Has(err) {
				t.Fatalf("error after the last event: got %v, want one of class ErrBroken", err)
			}
		})
	}
}

// unframedServer starts an engine that answers with the body and ends the answer by closing the connection.
func unframedServer(t *testing.T, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
	}()
	return listener.Addr().String()
}
