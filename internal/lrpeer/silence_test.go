package lrpeer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// startSilentProxy starts a proxy before the address. Connections that were made before the returned function was called carry nothing any
// more, without an end or a reset.
func startSilentProxy(t *testing.T, target string) (address string, silence func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var generation atomic.Int64
	copyWhile := func(to, from net.Conn, born int64) {
		buffer := make([]byte, 4<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if born == generation.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { _, _ = from.Close(), to.Close() })
			go copyWhile(to, from, generation.Load())
			go copyWhile(from, to, generation.Load())
		}
	}()
	return listener.Addr().String(), func() { generation.Add(1) }
}

// TestSilentConnectionIsReplaced guards against instances that do not hear one another again after their open connections have fallen silent
// without a reset, until the kernel gives them up: a call needs a new connection after two without an answer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	lrpeerpb.RegisterFleetServer(server, lrpeerpb.UnimplementedFleetServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	address, silence := startSilentProxy(t, listener.Addr().String())
	pool := NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	call := func(timeout time.Duration) codes.Code {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		connection, err := pool.Connection(address)
		if err != nil {
			t.Fatal(err)
		}
		_, err = lrpeerpb.NewFleetClient(connection).Share(ctx, &lrpeerpb.FleetState{})
		return status.Code(err)
	}
	// The service of the test answers that it knows no such call.
	requireCode := func(got, want codes.Code) {
		t.Helper()
		if got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	requireCode(call(5*time.Second), codes.Unimplemented)
	longer := make(chan codes.Code, 1)
	silence()
	go func() { longer <- call(time.Second) }()
	time.Sleep(50 * time.Millisecond)
	for range maxSilentCalls {
		requireCode(call(100*time.Millisecond), codes.DeadlineExceeded)
	}
	requireCode(call(5*time.Second), codes.Unimplemented)
	// A call that is under way goes on: the other instance may have been too slow for the short ones.
	requireCode(<-longer, codes.DeadlineExceeded)
}
