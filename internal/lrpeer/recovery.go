package lrpeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recovery returns an interceptor that turns a panic in a handler into an Internal error, so that no message from a peer
// can crash the process.
func recovery(panicked func(method string, value any)) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
		defer func() {
			value := recover()
			if value != nil {
				panicked(info.FullMethod, value)
				reply, err = nil, status.Error(codes.Internal, "the handler failed; look at the log of the instance")
			}
		}()
		return handler(ctx, request)
	}
}
