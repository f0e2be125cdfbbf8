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
	// onSilence is called once, so that no further call begins on the connection.
	onSilence func(connection *grpc.ClientConn)
	// timeouts counts the calls in a row that had no answer in time, and running the calls that have not ended. A silent connection is closed
	// at the end of the last one: the other instance may only have been too slow for short calls.
	timeouts atomic.Int32
	running  atomic.Int32
	isSilent atomic.Bool
}

// intercept makes a call and reports the connection as silent after maxSilentCalls.
func (d *silenceDetector) intercept(ctx context.Context, method string, request, reply any, connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	d.running.Add(1)
	err := invoke(ctx, method, request, reply, connection, options...)
	d.record(err, connection)
	if d.running.Add(-1) == 0 && d.isSilent.Load() {
		_ = connection.Close()
	}
	return err
}

// record notes the result of a call.
func (d *silenceDetector) record(err error, connection *grpc.ClientConn) {
	if status.Code(err) != codes.DeadlineExceeded {
		d.timeouts.Store(0)
		return
	}
	isSilent := d.timeouts.Add(1) >= maxSilentCalls && connection.GetState() == connectivity.Ready
	if isSilent && d.isSilent.CompareAndSwap(false, true) {
		d.onSilence(connection)
	}
}
