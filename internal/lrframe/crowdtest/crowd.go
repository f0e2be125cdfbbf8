package crowdtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// sendTimeout bounds how long a client waits for a process that does not read.
	sendTimeout = 2 * time.Second
	// abortRounds is the number of times that a client which aborts its request sends it again.
	abortRounds = 4
	// pieceBytes and pieceInterval are the size of the pieces of a body that is sent slowly, and the time between them.
	pieceBytes    = 2 << 10
	pieceInterval = 20 * time.Millisecond
)

// A Crowd is a group of clients with one connection each.
type Crowd struct {
	mutex sync.Mutex
	conns []net.Conn
	// slow are the clients that go on sending.
	slow sync.WaitGroup
}

// Connect opens connections to the address until the end of the test. Connections that cannot be opened are left out.
func Connect(t *testing.T, address string, count int) *Crowd {
	t.Helper()
	c := &Crowd{}
	t.Cleanup(c.Close)
	var group sync.WaitGroup
	for range count {
		group.Go(func() { c.dial(address) })
	}
	group.Wait()
	return c
}

// Send opens the number of connections to the address, sends the kind of request on each of them, and keeps them open until the end of the
// test. No client reads an answer.
func Send(t *testing.T, address string, count int, kind Kind, start string) *Crowd {
	t.Helper()
	c := &Crowd{}
	t.Cleanup(c.Close)
	text := []byte(kind.text(start))
	var group sync.WaitGroup
	for range count {
		group.Go(func() { c.send(address, kind, text) })
	}
	group.Wait()
	return c
}

func (c *Crowd) send(address string, kind Kind, text []byte) {
	rounds := 1
	if kind.aborts {
		rounds = abortRounds
	}
	for range rounds {
		conn := c.dial(address)
		if conn == nil {
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		// The process may refuse the request or close the connection while it is sent.
		_, _ = conn.Write(text)
		if kind.aborts {
			_ = conn.Close()
		}
		if kind.isSlow {
			c.slow.Go(func() { sendPieces(conn) })
		}
	}
}

// sendPieces sends pieces of a body until the connection is closed.
func sendPieces(conn net.Conn) {
	piece := make([]byte, pieceBytes)
	for {
		time.Sleep(pieceInterval)
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err := conn.Write(piece)
		if err != nil {
			return
		}
	}
}

func (c *Crowd) dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.closeAll()
	c.slow.Wait()
}

func (c *Crowd) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
