package lrdaemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// TestMalformedRequestsAreRefused sends raw bytes. Each request must get its status, and its connection must be closed.
func TestMalformedRequestsAreRefused(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", func(s *lrsettings.Settings) {
		s.Server.HeaderTimeout = 200 * time.Millisecond
		s.Server.BodyTimeout = 200 * time.Millisecond
	})
	key := "Authorization: Bearer " + h.key.Reveal() + "\r\n"
	cases := []struct {
		name, text string
		status     int
	}{
		{"both lengths", "POST /balances HTTP/1.1\r\nHost: a\r\n" + key + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"both lengths on an open route", "POST /opening-hours HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400},
		{"two equal lengths", "POST /opening-hours HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
		{"two lengths", "POST /opening-hours HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
		{"unknown transfer encoding", "POST /opening-hours HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", 501},
		{"two Authorization headers", "GET /opening-hours HTTP/1.1\r\nHost: a\r\n" + key + key + "\r\n", 400},
		{"two Host headers", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"LF line ends", "GET /opening-hours HTTP/1.1\nHost: a\n\n", 400},
		{"one LF line end", "GET /opening-hours HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400},
		{"bare CR", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nX: b\rY: c\r\n\r\n", 400},
		{"folded header", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400},
		{"blank before colon", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n", 400},
		{"control character in a value", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n", 400},
		{"control character in a name", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nX\x01: b\r\n\r\n", 400},
		{"oversized headers", "GET /opening-hours HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		{"dot segments", "GET /opening-hours/../balances HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"encoded dot segments", "GET /opening-hours/%2e%2e/disbursements HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"encoded backslash", "GET /opening-hours%5c..%5cdisbursements HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"slow body", "POST /opening-hours HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nx", 400},
		{"slow header", "GET /opening-hours HTTP/1.1\r\nHost: a\r\n", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requireRefusedAndClosed(t, d.settings.Instance.Address, c.text, c.status)
		})
	}
	requireEqual(t, string(h.read(h.service, "/control/headers")), "null\n", "what the service has seen")
}

// requireRefusedAndClosed sends the text and expects one response with the status, or none if it is zero, and then the end
// of the connection.
func requireRefusedAndClosed(t *testing.T, address, text string, status int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	requireNoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	requireNoError(t, err)
	reader := bufio.NewReader(conn)
	if status != 0 {
		requireEqual(t, readAnswer(t, reader).status, status, "status")
	}
	_, err = reader.ReadByte()
	requireEqual(t, err, io.EOF, "end of the connection")
}

// rawAnswer is one response on a raw connection.
type rawAnswer struct {
	status int
	header http.Header
	body   []byte
}

func readAnswer(t *testing.T, reader *bufio.Reader) rawAnswer {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	requireNoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	requireNoError(t, err)
	return rawAnswer{status: response.StatusCode, header: response.Header, body: body}
}

func TestPipelinedRequestsAreServed(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	conn, err := net.Dial("tcp", d.settings.Instance.Address)
	requireNoError(t, err)
	defer func() { _ = conn.Close() }()
	post := "POST /opening-hours HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n\r\n\r\nGET \n\n"
	chunked := "POST /opening-hours HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n\n\n\n\r\n0\r\n\r\n"
	_, err = io.WriteString(conn, post+post+chunked)
	requireNoError(t, err)
	reader := bufio.NewReader(conn)
	for range 3 {
		requireEqual(t, readAnswer(t, reader).status, http.StatusOK, "status")
	}
	_, err = reader.ReadByte()
	requireEqual(t, err, io.EOF, "end of the connection after a chunked request")
}
