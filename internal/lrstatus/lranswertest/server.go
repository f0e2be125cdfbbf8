// Package lranswertest provides servers for tests whose answers have no valid status, or come before the request was read and are reset.
package lranswertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

// Invalid returns what answers may name as a status that is none.
func Invalid() []string { return []string{"000", "001", "099", "101", "+20", "-00", "+99"} }

// Interim returns interim answers of the status, as many as the given number.
func Interim(status string, number int) string {
	return strings.Repeat("HTTP/1.1 "+status+" Wait\r\n\r\n", number)
}

// TooManyInterim returns one interim answer more than are allowed.
func TooManyInterim() string { return Interim("102", lrstatus.MaxInterim+1) }

// Start starts a server that answers each request with the answer of the status, whose body looks like another answer, and keeps the
// connection open. Both bear the field of the request, unless its name is empty.
func Start(t *testing.T, status, idField string) string {
	t.Helper()
	return StartText(t, func(r *http.Request) string {
		field := ""
		if idField != "" {
			field = idField + ": " + r.Header.Get(idField) + "\r\n"
		}
		inner := "HTTP/1.1 200 OK\r\n" + field + "Content-Length: 4\r\n\r\nnull"
		return fmt.Sprintf("HTTP/1.1 %s Odd\r\n%sContent-Length: %d\r\n\r\n%s", status, field, len(inner), inner)
	})
}

// StartText starts a server that answers each request with the text and keeps the connection open.
func StartText(t *testing.T, answer func(r *http.Request) string) string {
	t.Helper()
	return startServer(t, func(c net.Conn) { serve(c, answer) })
}

// startServer starts a server that serves each connection with the function, and returns its address.
func startServer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	lrsupervise.Go(zerolog.Nop(), "accept", func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			lrsupervise.Go(zerolog.Nop(), "serve", func() { serve(c) })
		}
	})
	return listener.Addr().String()
}

func serve(c net.Conn, answer func(r *http.Request) string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = io.WriteString(c, answer(request))
		if err != nil {
			return
		}
	}
}
