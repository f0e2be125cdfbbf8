package lrservice

import (
	"context"
	"net"
	"time"
)

// sendBeforeKey is the context key with which a dial receives the SendBefore of its request.
type sendBeforeKey struct{}

// sendDeadlineConn refuses to send its first byte at or after sendBefore. A pause of the process between the dial and the first
// write could otherwise send a request late.
type sendDeadlineConn struct {
	net.Conn
	sendBefore time.Time
	started    bool
}

// dialWithSendDeadline returns a dial function whose connections enforce the send deadline of the request they are dialed for.
// A connection must not be reused for another request.
func dialWithSendDeadline(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sendBefore, _ := ctx.Value(sendBeforeKey{}).(time.Time)
		return &sendDeadlineConn{Conn: connection, sendBefore: sendBefore}, nil
	}
}

// Write sends the data, or returns ErrNotSent if the first byte would be sent after the deadline.
func (c *sendDeadlineConn) Write(data []byte) (int, error) {
	if !c.started && !c.sendBefore.IsZero() && !time.Now().Before(c.sendBefore) {
		return 0, ErrNotSent.New("the time in which the request may be sent is over")
	}
	c.started = true
	return c.Conn.Write(data)
}
