package lrservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// failedWriteWait is how long the end of an answer waits for a write that is under way. One that has met a reset returns at once.
const failedWriteWait = 100 * time.Millisecond

// sendBeforeKey is the context key with which a dial receives the SendBefore of its request.
type sendBeforeKey struct{}

// requestConn is the connection of a single request. It refuses to send its first byte at or after sendBefore, since a pause of the process
// between the dial and the first write could otherwise send a request late. It also tells a reset from the end of an answer: the kernel reports
// a reset once, and when a write of the request gets the error, a read sees the end of the connection.
type requestConn struct {
	net.Conn
	sendBefore time.Time
	started    bool
	// writing holds a token while a write is under way, which guards writeErr, the error of the last write.
	writing  chan struct{}
	writeErr error
}

// dialRequestConn returns a dial function whose connections enforce the send deadline of the request they are dialed for. A connection must
// not be reused for another request.
func dialRequestConn(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sendBefore, _ := ctx.Value(sendBeforeKey{}).(time.Time)
		return &requestConn{Conn: connection, sendBefore: sendBefore, writing: make(chan struct{}, 1)}, nil
	}
}

// Write sends the data, or returns ErrNotSent if the first byte would be sent after the deadline.
func (c *requestConn) Write(data []byte) (int, error) {
	if !c.started && !c.sendBefore.IsZero() && !time.Now().Before(c.sendBefore) {
		return 0, ErrNotSent.New("the time in which the request may be sent is over")
	}
	c.started = true
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(data)
	c.writeErr = err
	return n, err
}

// Read reads a part of the answer. The end of the connection is an error if a write of the request has failed.
func (c *requestConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	failure := c.failedWrite()
	if failure != nil {
		return n, fmt.Errorf("connection broke while the request was written: %w", failure)
	}
	return n, err
}

// failedWrite returns the error of the last write. A write that does not return within failedWriteWait has met none.
func (c *requestConn) failedWrite() error {
	timer := time.NewTimer(failedWriteWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return c.writeErr
	case <-timer.C:
		return nil
	}
}
