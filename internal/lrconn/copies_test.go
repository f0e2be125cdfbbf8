package lrconn

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// TestLateCopiesReachNobody answers a request twice, the second time when the connection carries the next request.
func TestLateCopiesReachNobody(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nContent-Length: 4\r\n\r\nnext"
	copyOf := func(text string) string { return strings.ReplaceAll(text, "$ID", "1") }
	chunked := "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	cases := []struct {
		name, first, second string
	}{
		{"with the same bytes", whole, copyOf(whole) + next},
		{"in chunks", chunked, copyOf(chunked) + next},
		{"twice", whole, copyOf(whole) + copyOf(whole) + next},
		{"without an identity", whole, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + next},
		{"as an interim answer", whole, "HTTP/1.1 103 Early\r\nTest-Id: 1\r\n\r\n" + next},
		{"glued to the first answer", whole + copyOf(whole), next},
		{"glued to the chunks of the first answer", chunked + copyOf(chunked), next},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, _ := scriptedServer(t, c.first, c.second, next)
			p := newTestPool()
			body, err := do(t, p, address, "1")
			requireEqual(t, err, nil)
			requireEqual(t, body, "ok")
			body, err = do(t, p, address, "2")
			requireEqual(t, err, nil)
			requireEqual(t, body, "next")
		})
	}
}

// TestRepeatOnTheSameServerIsNotAnsweredByACopy refuses a request and sends a second copy of the refusal late. A request that is sent to
// the server again under the same identity must not take the copy for its answer.
func TestRepeatOnTheSameServerIsNotAnsweredByACopy(t *testing.T) {
	refusal := "HTTP/1.1 421 Wrong\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n"
	address, accepted := scriptedServer(t, refusal, refusal+whole, whole)
	p := newTestPool()
	_, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := p.Do(ctx, address, 0, Request{Method: "POST", Target: "/x", Host: "h", ID: "1", Header: []Field{{"Test-Id", "1"}}})
	requireEqual(t, err, nil)
	defer answer.Close()
	// On a new connection the server's next text begins with the copy, which only the old connection could bring.
	requireEqual(t, *accepted, 2)
}

// TestCallsWithoutIdentityTakeNoAnswerOfARequest sends a late copy of a request's answer to a call of the router's own.
func TestCallsWithoutIdentityTakeNoAnswerOfARequest(t *testing.T) {
	address, _ := scriptedServer(t, whole, strings.ReplaceAll(whole, "$ID", "1")+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport")
	p := newTestPool()
	_, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	answer, err := p.Do(context.Background(), address, 0, Request{Method: "GET", Target: "/report", Host: "h"})
	requireEqual(t, err, nil)
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	requireEqual(t, err, nil)
	requireEqual(t, string(body), "report")
}

// TestRequestsAreHeldBack asks last before the first byte, on a new and on a kept connection.
func TestRequestsAreHeldBack(t *testing.T) {
	address, _ := scriptedServer(t, whole, whole)
	p := newTestPool()
	late := errors.New("too late")
	for _, connection := range []string{"new", "kept"} {
		t.Run(connection, func(t *testing.T) {
			_, err := p.Do(context.Background(), address, 0, Request{
				Method: "POST", Target: "/x", Host: "h", ID: "3", MayLeave: func() error { return late },
			})
			requireEqual(t, ErrNotSent.Has(err), true)
			requireEqual(t, ErrHeldBack.Has(err), true)
			requireEqual(t, errors.Is(err, late), true)
			body, err := do(t, p, address, connection)
			requireEqual(t, err, nil)
			requireEqual(t, body, "ok")
		})
	}
	_, err := p.Do(expired{context.Background()}, address, 0, Request{Method: "GET", Target: "/", Host: "h"})
	requireEqual(t, ErrHeldBack.Has(err), true)
}

// expired is a context whose end has passed while its timer has not fired yet, as after a pause.
type expired struct{ context.Context }

// Deadline returns a time that has passed.
func (expired) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// TestHalfAnswersAreNeverWhole breaks answers off in each framing, with and without a reset.
func TestHalfAnswersAreNeverWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, text string }{
		{"in the head", "HTTP/1.1 200 OK\r\nTest-"},
		{"before the body", head + "Content-Length: 4\r\n\r\n"},
		{"in a body with a length", head + "Content-Length: 4\r\n\r\nha"},
		{"before the first chunk", chunked},
		{"in a chunk", chunked + "4\r\nha"},
		{"between chunks", chunked + "4\r\nhalf\r\n"},
		{"in the last chunk", chunked + "4\r\nhalf\r\n0\r\n"},
	}
	for _, c := range cases {
		for name, end := range map[string]string{"closed": "!", "reset": "#!"} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				address, _ := scriptedServer(t, c.text+end)
				_, err := do(t, newTestPool(), address, "1")
				requireEqual(t, err != nil, true)
			})
		}
	}
	t.Run("until the end of the connection, reset", func(t *testing.T) {
		address, _ := scriptedServer(t, head+"\r\nhalf#!")
		_, err := do(t, newTestPool(), address, "1")
		requireEqual(t, err != nil, true)
	})
}
