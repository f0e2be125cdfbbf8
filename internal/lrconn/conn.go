package lrconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes is the size of the buffer of each connection.
	readBufferBytes = 4 << 10
	// maxForeign is the most answers to other requests that are dropped before the connection is given up.
	maxForeign = 4
	// maxForeignBytes bounds the body of an answer that is dropped.
	maxForeignBytes = 1 << 20
	// keepAliveMargin is how long before the backend server's own limit an idle connection is given up.
	keepAliveMargin = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept where the backend server states no limit.
	defaultIdle = 10 * time.Second
)

var errForeign = errors.New("the answer belongs to another request")

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleFor is how long the backend server keeps the connection without a request.
	idleFor   time.Duration
	idleSince time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleFor: defaultIdle}
}

// isUsable reports whether the idle connection is open and has brought nothing that nobody asked for.
func (c *conn) isUsable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleFor-keepAliveMargin || c.reader.Buffered() > 0 {
		return false
	}
	return c.isQuiet()
}

// isQuiet looks whether bytes or the end of the connection wait to be read, without waiting for them.
func (c *conn) isQuiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// readAnswer reads the head of the answer to the request. Answers to other requests are dropped.
func (c *conn) readAnswer(request Request, idHeader string) (*Answer, error) {
	for range maxForeign {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // Answer.Close ends it with the connection.
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(idHeader)
		if request.ID == "" || id == request.ID {
			c.noteKeepAlive(response)
			return newAnswer(response), nil
		}
		err = drop(response)
		if err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// drop reads an answer to another request to its end.
func drop(response *http.Response) error {
	if response.Close {
		return errForeign
	}
	_, err := io.CopyN(io.Discard, response.Body, maxForeignBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("%w: %w", errForeign, err)
}

func (c *conn) noteKeepAlive(response *http.Response) {
	_, timeout, found := strings.Cut(response.Header.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	timeout, _, _ = strings.Cut(timeout, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(timeout))
	if err == nil && seconds > 0 {
		c.idleFor = time.Duration(seconds) * time.Second
	}
}
