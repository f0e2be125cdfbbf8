package lrconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// bytesConn is a connection from which the given bytes can be read, followed by its end.
type bytesConn struct {
	net.Conn
	reader *bytes.Reader
}

// Read returns the next of the bytes.
func (b bytesConn) Read(data []byte) (int, error) { return b.reader.Read(data) }

// SetReadDeadline does nothing.
func (bytesConn) SetReadDeadline(time.Time) error { return nil }

// FuzzAnswer reads arbitrary bytes as the answer to a request. An answer that is accepted must carry the ID of the request.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n", "HTTP/9.9 -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: -2\r\nKeep-Alive: timeout=-9\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(bytesConn{reader: bytes.NewReader(data)})
		answer, err := c.readAnswer(Request{Method: "GET", ID: "1"}, "Test-Id", time.Second)
		if err != nil {
			return
		}
		requireEqual(t, answer.Header.Get("Test-Id"), "1")
		body, err := io.ReadAll(answer.Body)
		requireTrue(t, len(body) <= len(data), "%d bytes of %d", len(body), len(data))
		requireEqual(t, answer.complete, err == nil)
		requireTrue(t, errors.Is(err, nil) || len(body) < len(data), "a broken answer is longer than its bytes")
	})
}
