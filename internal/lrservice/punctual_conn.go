package lrservice

import (
	"context"
	"net"
	"time"
)

// sendBeforeKey is the key of a request's SendBefore in the context of its dial.
type sendBeforeKey struct{}

// punctualConn refuses to send its first byte late, as after a pause of the process.
type punctualConn struct {
	net.Conn
	sendBefore time.Time
	begun      bool
}

// dialPunctual returns a dial function whose connections serve one request, within its time.
func dialPunctual(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sendBefore, _ := ctx.Value(sendBeforeKey{}).(time.Time)
		return &punctualConn{Conn: connection, sendBefore: sendBefore}, nil
	}
}

// Write sends the bytes unless the first of them would be late.
func (c *punctualConn) Write(data []byte) (int, error) {
	if !c.begun && !c.sendBefore.IsZero() && !time.Now().Before(c.sendBefore) {
		return 0, ErrNotSent.New("the time in which the request may be sent is over")
	}
	c.begun = true
	return c.Conn.Write(data)
}
