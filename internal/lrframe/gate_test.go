package lrframe

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrframe/crowdtest"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

const (
	testHeaderBytes = crowdtest.HeadBytes
	testTimeout     = 10 * time.Second
)

// startGate serves requests within the limits. A request to /wait is answered once the returned function has been called.
func startGate(t *testing.T, limits Limits) (address string, release func()) {
	t.Helper()
	limits.MaxHeaderBytes = testHeaderBytes
	return serveGate(t, NewGate(limits, NewStats(zerolog.Nop())), testHeaderBytes)
}

// startRaisableGate serves requests behind a gate whose limit of heads can be raised.
func startRaisableGate(t *testing.T) (gate *Gate, address string) {
	t.Helper()
	gate = NewGate(Limits{MaxHeaderBytes: testHeaderBytes}, NewStats(zerolog.Nop()))
	address, _ = serveGate(t, gate, 16*testHeaderBytes)
	return gate, address
}

// serveGate serves requests behind the gate. net/http takes heads of up to the given size.
func serveGate(t *testing.T, gate *Gate, mostHeaderBytes int) (address string, release func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireEqual(t, err, nil)
	released := make(chan struct{})
	server := &http.Server{
		Handler: gate.Handler(answerWithin(gate.limits.Memory, released)), ConnContext: ConnContext, ConnState: gate.ConnState,
		ReadHeaderTimeout: testTimeout, MaxHeaderBytes: mostHeaderBytes,
	}
	go func() { _ = server.Serve(gate.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), sync.OnceFunc(func() { close(released) })
}

func answerWithin(memory *lrmemory.Budget, released <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusal := Refusal(r.Context())
		if refusal == nil && r.Body != http.NoBody {
			reservation := NewReservation(r.Context(), memory)
			defer reservation.Release()
			_, isWhole, err := ReadBody(r, reservation, r.Body, 4<<20)
			if err != nil || !isWhole {
				refusal = refusalFor(reasonMemory)
			}
		}
		if refusal != nil {
			LingerOnClose(r.Context())
			w.Header().Set("Connection", "close")
			w.WriteHeader(refusal.Kind().Status())
			return
		}
		if r.URL.Path == "/wait" {
			<-released
		}
	})
}

// send sends the text on a new connection.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	requireEqual(t, err, nil)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	// The server may close the connection before it has read everything.
	_, _ = io.WriteString(c, text)
	return c
}

// requireStatus reads an answer, checks its status and returns its header. The connection must not be reset before.
func requireStatus(t *testing.T, c net.Conn, status int) http.Header {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	requireEqual(t, err, nil)
	requireEqual(t, response.StatusCode, status)
	return response.Header
}

const ordinary = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// headOf returns a head with the number of header lines.
func headOf(target string, lines int) string {
	return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines-1) + "\r\n"
}

// A head inside the size limit must not cost more memory than the limit of lines allows, and the refusal must arrive. A head with as many
// lines as allowed is served.
func TestTooManyLinesAreRefused(t *testing.T) {
	address, _ := startGate(t, Limits{MaxHeaderLines: 100})
	requireStatus(t, send(t, address, headOf("/", 100)), http.StatusOK)
	requireStatus(t, send(t, address, headOf("/", 101)), http.StatusRequestHeaderFieldsTooLarge)
	requireStatus(t, send(t, address, headOf("/", 4000)), http.StatusRequestHeaderFieldsTooLarge)
}

// The default limit of lines must admit the most lines that fit into the size limit.
func TestMostLinesThatFitAreServed(t *testing.T) {
	address, _ := startGate(t, Limits{Memory: lrmemory.NewBudget(4 << 20)})
	frame := len(headOf("/", 1))
	requireStatus(t, send(t, address, headOf("/", 1+(testHeaderBytes-frame)/minLineBytes)), http.StatusOK)
}

// While the budget is used up by requests that are being served, another expensive one must be refused as not run, and ordinary ones
// served. Afterwards expensive ones are served again.
func TestBudgetRefusesTheExpensive(t *testing.T) {
	address, release := startGate(t, Limits{Memory: lrmemory.NewBudget(1 << 20)})
	first := send(t, address, headOf("/wait", 4000))
	time.Sleep(100 * time.Millisecond)
	refused := requireStatus(t, send(t, address, headOf("/", 4000)), http.StatusServiceUnavailable)
	requireEqual(t, refused.Get("Retry-After"), "1")
	requireStatus(t, send(t, address, ordinary), http.StatusOK)
	release()
	requireStatus(t, first, http.StatusOK)
	_ = first.Close()
	time.Sleep(100 * time.Millisecond)
	requireStatus(t, send(t, address, headOf("/", 4000)), http.StatusOK)
}

// A client that keeps an expensive request unfinished must give way to a lighter one, and be told that its request has not run.
func TestUnfinishedRequestGivesWay(t *testing.T) {
	address, _ := startGate(t, Limits{Memory: lrmemory.NewBudget(860 << 10)})
	unfinished := send(t, address, strings.TrimSuffix(headOf("/", 4000), "\r\n"))
	time.Sleep(100 * time.Millisecond)
	requireStatus(t, send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 60000)), http.StatusOK)
	requireStatus(t, unfinished, http.StatusServiceUnavailable)
}

// New connections must replace those that wait for their client, never one whose request is being served.
func TestConnectionsThatWaitAreReplaced(t *testing.T) {
	const limit = 16
	address, release := startGate(t, Limits{MaxConnections: limit})
	served := send(t, address, strings.Replace(ordinary, "/", "/wait", 1))
	time.Sleep(50 * time.Millisecond)
	for range 3 * limit {
		send(t, address, "")
	}
	requireStatus(t, send(t, address, ordinary), http.StatusOK)
	release()
	requireStatus(t, served, http.StatusOK)
}

// A connection over the limit must be refused while all others are being served, and not wait.
func TestConnectionsOverTheLimitAreRefused(t *testing.T) {
	const limit = 4
	address, release := startGate(t, Limits{MaxConnections: limit})
	defer release()
	for range limit {
		send(t, address, strings.Replace(ordinary, "/", "/wait", 1))
	}
	time.Sleep(100 * time.Millisecond)
	requireStatus(t, send(t, address, ""), http.StatusServiceUnavailable)
}

// A body that never arrives must not keep its connection, also where the caller has set no deadline.
func TestMissingBodyEnds(t *testing.T) {
	address, _ := startGate(t, Limits{BodyTimeout: 50 * time.Millisecond, Memory: lrmemory.NewBudget(1 << 20)})
	requireStatus(t, send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx"), http.StatusServiceUnavailable)
}

// An answer of which the client reads nothing must not keep its connection and what it holds.
func TestUnreadAnswerEnds(t *testing.T) {
	gate := NewGate(Limits{MaxHeaderBytes: testHeaderBytes, WriteTimeout: testTimeout, StallTimeout: 50 * time.Millisecond}, NewStats(zerolog.Nop()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireEqual(t, err, nil)
	failed := make(chan error, 1)
	server := &http.Server{Handler: gate.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, writeErr := w.Write(make([]byte, 32<<20))
		failed <- writeErr
	}))}
	go func() { _ = server.Serve(gate.Listener(l)) }()
	defer func() { _ = server.Close() }()
	send(t, l.Addr().String(), ordinary)
	select {
	case err = <-failed:
		requireEqual(t, err != nil, true)
	case <-time.After(testTimeout):
		t.Fatal("the answer is still being written")
	}
}

// After all kinds of odd clients, also at the same time, the whole budget and all connections must be free again.
func TestNothingIsHeldAfterwards(t *testing.T) {
	const bytes = 2 << 20
	memory := lrmemory.NewBudget(bytes)
	gate := NewGate(Limits{MaxHeaderBytes: testHeaderBytes, MaxConnections: 40, Memory: memory, BodyTimeout: testTimeout}, NewStats(zerolog.Nop()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireEqual(t, err, nil)
	server := &http.Server{Handler: gate.Handler(answerWithin(memory, nil)), ConnContext: ConnContext, ConnState: gate.ConnState}
	go func() { _ = server.Serve(gate.Listener(l)) }()
	defer func() { _ = server.Close() }()
	for _, kind := range crowdtest.Kinds() {
		crowdtest.Send(t, l.Addr().String(), 20, kind, "POST / HTTP/1.1\r\nHost: h\r\n").Close()
	}
	requireStatus(t, send(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), http.StatusOK)
	for end := time.Now().Add(testTimeout); memory.Available() != bytes || gate.Connections() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d bytes are free, %d connections are open", memory.Available(), bytes, gate.Connections())
		}
	}
}

// TestRaisedHeaderLimit guards against a limit of request heads that an operator has raised and that is not applied: proper requests got 431. It
// applies to open connections, and larger heads are still refused.
func TestRaisedHeaderLimit(t *testing.T) {
	gate, address := startRaisableGate(t)
	withHeader := func(bytes int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", bytes) + "\r\n\r\n"
	}
	kept := send(t, address, ordinary)
	requireStatus(t, kept, http.StatusOK)
	requireStatus(t, send(t, address, withHeader(2*testHeaderBytes)), http.StatusRequestHeaderFieldsTooLarge)
	gate.RaiseMaxHeaderBytes(3 * testHeaderBytes)
	_, err := io.WriteString(kept, withHeader(2*testHeaderBytes))
	requireEqual(t, err, nil)
	requireStatus(t, kept, http.StatusOK)
	requireStatus(t, send(t, address, withHeader(2*testHeaderBytes)), http.StatusOK)
	requireStatus(t, send(t, address, withHeader(5*testHeaderBytes)), http.StatusRequestHeaderFieldsTooLarge)
	gate.RaiseMaxHeaderBytes(0)
	requireStatus(t, send(t, address, withHeader(2*testHeaderBytes)), http.StatusRequestHeaderFieldsTooLarge)
}
