package lrconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxAllocated is the maximum number of bytes that one endless answer may make an instance allocate. The smallest machines have 112 MB.
const maxAllocated = 16 << 20

// endlessServer answers each request with beginning, followed by again, repeated until the connection closes.
func endlessServer(t *testing.T, beginning, again string) string {
	t.Helper()
	return rawServer(t, func(c net.Conn) { serveEndless(c, beginning, again) })
}

// rawServer serves each connection with the function.
func rawServer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireEqual(t, err, nil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func serveEndless(c net.Conn, beginning, again string) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, err = io.WriteString(c, strings.ReplaceAll(beginning, "$ID", request.Header.Get("Test-Id")))
	for err == nil {
		_, err = io.WriteString(c, again)
	}
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestEndlessAnswersAreLimited sends endless bytes at each place where an answer may have any number of them. Without a limit, one
// misbehaving server could use up the memory of an instance.
func TestEndlessAnswersAreLimited(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Id: $ID\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("x", 32<<10)
	cases := []struct{ name, beginning, again string }{
		{"a status line", "HTTP/1.1 200 ", filler},
		{"a header line", head + "Field: ", filler},
		{"header lines", head, strings.Repeat("Field: value\r\n", 2000)},
		{"folded header lines", head + "Field: a\r\n", strings.Repeat(" folded\r\n", 2000)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", 1000)},
		{"a chunk extension", chunked + "5;a=", filler},
		{"a trailer", chunked + "2\r\nok\r\n0\r\n", strings.Repeat("Field: value\r\n", 2000)},
		{"bytes that are not HTTP", "", strings.Repeat("\x00garbage", 4000)},
		{"answers to other requests", "", strings.Repeat("HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 2\r\n\r\nno", 1000)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := endlessServer(t, c.beginning, c.again)
			p := newTestPool()
			before, began := allocated(), time.Now()
			_, err := do(t, p, address, "1")
			requireTrue(t, err != nil, "an endless answer is accepted as complete")
			requireTrue(t, allocated()-before < maxAllocated, "allocated %d bytes, at most %d", allocated()-before, maxAllocated)
			requireTrue(t, time.Since(began) < time.Second, "abandoned after %s", time.Since(began))
			requireEqual(t, len(p.idle[address]), 0)
		})
	}
}

// TestSlowlySentHeadTimesOut sends the head byte by byte with pauses. The time from the first byte of a head to its end is limited, however
// often a byte arrives.
func TestSlowlySentHeadTimesOut(t *testing.T) {
	address := rawServer(t, func(c net.Conn) {
		for {
			_, err := io.WriteString(c, "H")
			if err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	p := NewPool(Options{IDHeader: "Test-Id", DialTimeout: time.Second, AckTimeout: time.Second, HeadTimeout: 50 * time.Millisecond}, time.Now)
	began := time.Now()
	_, err := do(t, p, address, "1")
	requireEqual(t, ErrBroken.Has(err), true)
	requireTrue(t, time.Since(began) < time.Second, "abandoned after %s", time.Since(began))
}

// TestHeadTimeoutStartsAtTheFirstByte sends the whole head at once, but later than HeadTimeout. A server that works for long before the
// first byte must not time out.
func TestHeadTimeoutStartsAtTheFirstByte(t *testing.T) {
	address := rawServer(t, func(c net.Conn) {
		time.Sleep(120 * time.Millisecond)
		_, _ = io.WriteString(c, strings.ReplaceAll(okAnswer, "$ID", "1"))
	})
	p := NewPool(Options{IDHeader: "Test-Id", DialTimeout: time.Second, AckTimeout: time.Second, HeadTimeout: 50 * time.Millisecond}, time.Now)
	body, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	requireEqual(t, body, "ok")
}

// TestHeadTimeoutDoesNotLimitTheBody sends a body that takes longer than HeadTimeout.
func TestHeadTimeoutDoesNotLimitTheBody(t *testing.T) {
	address := rawServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n\r\n")
		for range 5 {
			time.Sleep(40 * time.Millisecond)
			_, _ = io.WriteString(c, "x")
		}
	})
	p := NewPool(Options{IDHeader: "Test-Id", DialTimeout: time.Second, AckTimeout: time.Second, HeadTimeout: 50 * time.Millisecond}, time.Now)
	body, err := do(t, p, address, "1")
	requireEqual(t, err, nil)
	requireEqual(t, body, "xxxxx")
}
