package lrconn

import (
	"bufio"
	"bytes"
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
	// maxHeadBytes bounds the heads that are read until the one of the answer has come, interim ones included.
	maxHeadBytes = 64 << 10
	// maxForeign is the most answers to other requests that are dropped before the connection is given up.
	maxForeign = 4
	// maxForeignBytes bounds the body of an answer that is dropped.
	maxForeignBytes = 1 << 20
	// keepAliveMargin is how long before the backend server's own limit an idle connection is given up.
	keepAliveMargin = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept where the backend server states no limit.
	defaultIdle = 10 * time.Second
)

var (
	errForeign     = errors.New("the answer belongs to another request")
	errHeadTooLong = errors.New("the head of the answer has no end")
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleFor is how long the backend server keeps the connection without a request.
	idleFor   time.Duration
	idleSince time.Time
	// lastID is the identity of the last request.
	lastID string
	// inHead tells that a head is read, of which headLeft more bytes are taken.
	inHead   bool
	headLeft int
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, idleFor: defaultIdle}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the backend server. While a head is read it ends with an error at the bound on heads.
func (c *conn) Read(data []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(data)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(data[:min(len(data), c.headLeft)])
	c.headLeft -= n
	return n, err
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

// readAnswer reads the head of the answer to the request. Answers to other requests are dropped. The server may take its time before
// the first byte of each head, and the given time from there to its end.
func (c *conn) readAnswer(request Request, idHeader string, headTimeout time.Duration) (*Answer, error) {
	c.headLeft = maxHeadBytes
	for range maxForeign {
		response, err := c.readHead(request.Method, headTimeout) //nolint:bodyclose // Answer.Close ends it with the connection.
		if err != nil {
			return nil, err
		}
		id := response.Header.Get(idHeader)
		if id == request.ID {
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

// readHead reads the head of the next answer. Interim answers before it are dropped.
func (c *conn) readHead(method string, timeout time.Duration) (*http.Response, error) {
	c.inHead = true
	defer func() { c.inHead = false }()
	for {
		err := c.awaitHead(timeout)
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		err = c.SetReadDeadline(time.Time{})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// awaitHead waits for the first byte of a head, and bounds the time of the rest.
func (c *conn) awaitHead(timeout time.Duration) error {
	_, err := c.reader.Peek(1)
	if err != nil || timeout <= 0 {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// endsWithLastChunk reports whether the buffered bytes end as a body of chunks does.
func (c *conn) endsWithLastChunk(buffered int) bool {
	data, err := c.reader.Peek(buffered)
	return err == nil && bytes.HasSuffix(data, []byte("0\r\n\r\n"))
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
