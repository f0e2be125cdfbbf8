package lrframe

import (
	"net"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

// mustEnd reports whether the connection is refused and no request on it is being served or read by a handler, or whether it is evicted.
func (c *conn) mustEnd() bool {
	if c.gate == nil {
		return false
	}
	if c.holder.IsEvicted() {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reason != "" && len(c.heads) == 0
}

// end writes the refusal, unless a handler answers or nothing was received, and returns the error for net/http.
func (c *conn) end() error {
	reason, writes := c.beginEnd()
	if writes {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_, _ = c.Conn.Write(c.gate.encode(refusalFor(reason)))
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// beginEnd counts the refusal once, and returns its reason and whether it is to be written.
func (c *conn) beginEnd() (reason string, writes bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refuseLocked(reasonMemory)
	if c.hasEnded {
		return c.reason, false
	}
	c.hasEnded = true
	c.gate.stats.count(time.Now(), c.reason, c.address)
	// A connection that makes room for another ends at once.
	c.lingers = c.hasInput && c.reason != reasonConnections
	return c.reason, c.hasInput && !c.isHandled && len(c.heads) == 0
}

// Close closes the connection. After a refusal it first reads what the client is still sending.
func (c *conn) Close() error {
	if c.gate == nil {
		return c.Conn.Close()
	}
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.holder.Close()
		c.mutex.Lock()
		lingers := c.lingers
		c.mutex.Unlock()
		if !lingers {
			err = c.Conn.Close()
			c.gate.remove(c)
			return
		}
		// net/http keeps the last request as long as Close runs.
		err = nil
		lrsupervise.Go(c.gate.stats.log, "linger", func() {
			c.linger()
			_ = c.Conn.Close()
			c.gate.remove(c)
		})
	})
	return err
}

// linger ends the answer and reads on for a short time.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	var buffer [lingerBuffer]byte
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(buffer[:])
		if err != nil {
			return
		}
		total += n
	}
}

// CloseWrite closes the write side, so that the peer can still read the last response.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
