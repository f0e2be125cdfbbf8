package lrpeer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
)

// maxSilentCalls is the number of calls in a row without an answer in time after which a connection counts as silent. The keep-alive of gRPC
// waits for ten seconds at least.
const maxSilentCalls = 2

// A silenceDetector finds an open connection on which nothing arrives any more, as after a change of the network that resets nothing.
type silenceDetector struct {
	onSilence func(connection *grpc.ClientConn)
	// timeouts counts the calls in a row that had no answer in time.
	timeouts atomic.Int32
}

// intercept makes a call and reports the connection as silent after maxSilentCalls.
func (d *silenceDetector) intercept(ctx context.Context, method string, request, reply any, connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	err := invoke(ctx, method, request, reply, connection, options...)
	if status.Code(err) != codes.DeadlineExceeded {
		d.timeouts.Store(0)
		return err
	}
	if d.timeouts.Add(1) >= maxSilentCalls && connection.GetState() == connectivity.Ready {
		d.timeouts.Store(0)
		d.onSilence(connection)
	}
	return err
}
