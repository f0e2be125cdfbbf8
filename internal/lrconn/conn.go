package lrconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus"
)

const (
	// readBufferBytes is the size of the buffer of each connection.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the total size of the heads that are read for one request: those of discarded and interim answers and that
	// of the answer itself.
	maxHeadBytes = 64 << 10
	// maxAnswersRead limits the answers that are read for one request. If none of them belongs to the request, the connection is closed.
	maxAnswersRead = 4
	// maxDiscardedBytes limits the body of an answer that is discarded.
	maxDiscardedBytes = 1 << 20
	// keepAliveMargin is how long before the backend server's own timeout an idle connection is closed.
	keepAliveMargin = 500 * time.Millisecond
	// rememberedIDs is the number of requests of a connection whose IDs are remembered.
	rememberedIDs = 8
	// defaultIdleTimeout is the idle timeout of connections to a backend server that states none.
	defaultIdleTimeout = 10 * time.Second
)

var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errHeadTooLong  = errors.New("the head of the answer exceeds the size limit")
	errInterim      = errors.New("too many interim answers")
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleTimeout is the time after which the backend server closes the idle connection.
	idleTimeout time.Duration
	idleSince   time.Time
	// recentIDs are the IDs of the last requests, in a ring in which next is the position of the oldest.
	recentIDs [rememberedIDs]string
	next      int
	// readingHead is set while a head is read. headBytesLeft is the number of bytes that may still be read as heads.
	readingHead   bool
	headBytesLeft int
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the backend server. While a head is read, it returns an error once maxHeadBytes are used up.
func (c *conn) Read(data []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(data)
	}
	if c.headBytesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(data[:min(len(data), c.headBytesLeft)])
	c.headBytesLeft -= n
	return n, err
}

// isUsable reports whether the idle connection can carry a request: it has not timed out, is open and has no unread bytes.
func (c *conn) isUsable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleTimeout-keepAliveMargin || c.reader.Buffered() > 0 {
		return false
	}
	return c.hasNoInput()
}

// remember adds the ID to those of the last requests.
func (c *conn) remember(id string) {
	c.recentIDs[c.next] = id
	c.next = (c.next + 1) % rememberedIDs
}

// hasCarried reports whether one of the last requests had the ID.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.recentIDs[:], id) }

// hasNoInput reports whether neither bytes nor the end of the connection can be read now. It does not block.
func (c *conn) hasNoInput() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noInput
}

// readAnswer reads the head of the answer to the request. Answers to other requests are discarded. headTimeout limits the time from the
// first byte of a head to its end, but not the time before the first byte.
func (c *conn) readAnswer(request Request, idHeader string, headTimeout time.Duration) (*Answer, error) {
	c.headBytesLeft = maxHeadBytes
	for range maxAnswersRead {
		response, err := c.readHead(request.Method, headTimeout) //nolint:bodyclose // Answer.Close ends it with the connection.
		if err != nil {
			return nil, err
		}
		id := response.Header.Get(idHeader)
		if id == request.ID {
			c.noteKeepAlive(response)
			return newAnswer(response), nil
		}
		err = discardBody(response)
		if err != nil {
			return nil, err
		}
	}
	return nil, errOtherRequest
}

// readHead reads the head of the next final answer. Interim answers before it are discarded.
func (c *conn) readHead(method string, timeout time.Duration) (*http.Response, error) {
	c.readingHead = true
	defer func() { c.readingHead = false }()
	for range lrstatus.MaxInterim + 1 {
		err := c.awaitHead(timeout)
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		err = errors.Join(lrstatus.Check(response), c.SetReadDeadline(time.Time{}))
		if err != nil {
			return nil, err
		}
		if !lrstatus.IsInterim(response) {
			return response, nil
		}
	}
	return nil, errInterim
}

// awaitHead waits for the first byte of a head, and sets the deadline for the rest.
func (c *conn) awaitHead(timeout time.Duration) error {
	_, err := c.reader.Peek(1)
	if err != nil || timeout <= 0 {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// endsWithLastChunk reports whether the buffered bytes end with the last chunk of a chunked body.
func (c *conn) endsWithLastChunk(buffered int) bool {
	data, err := c.reader.Peek(buffered)
	return err == nil && bytes.HasSuffix(data, []byte("0\r\n\r\n"))
}

// discardBody reads and discards the body of an answer to another request.
func discardBody(response *http.Response) error {
	if response.Close {
		return errOtherRequest
	}
	_, err := io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("%w: %w", errOtherRequest, err)
}

func (c *conn) noteKeepAlive(response *http.Response) {
	_, timeout, found := strings.Cut(response.Header.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	timeout, _, _ = strings.Cut(timeout, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(timeout))
	if err == nil && seconds > 0 {
		c.idleTimeout = time.Duration(seconds) * time.Second
	}
}
