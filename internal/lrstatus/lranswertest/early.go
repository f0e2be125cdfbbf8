package lranswertest

import (
	"io"
	"net"
	"testing"
	"time"
)

// earlyAnswer is the head and a part of the body of an answer without a length.
const earlyAnswer = "HTTP/1.1 200 OK\r\n\r\npart of the bo"

// An Early server answers before it has read the whole request.
type Early struct {
	// ReadBytes is the number of bytes of the request that it reads before it answers.
	ReadBytes int64
	// ResetAfter is the time after which it resets the connection.
	ResetAfter time.Duration
}

// Start starts the server and returns its address.
func (e Early) Start(t *testing.T) string {
	t.Helper()
	return startServer(t, e.serve)
}

func (e Early) serve(c net.Conn) {
	_, _ = io.CopyN(io.Discard, c, e.ReadBytes)
	_, _ = io.WriteString(c, earlyAnswer)
	time.Sleep(e.ResetAfter)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// EarlyServers returns early servers for a request with a body of the size.
func EarlyServers(size int) []Early {
	servers := make([]Early, 0, 12)
	for _, unread := range []int{0, 10, size / 2, size} {
		for _, pause := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
			servers = append(servers, Early{ReadBytes: int64(size - unread), ResetAfter: pause})
		}
	}
	return servers
}
