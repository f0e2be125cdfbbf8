package lrpeer

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestHandlerPanicBecomesError(t *testing.T) {
	reported := ""
	intercept := recovery(func(method string, _ any) { reported = method })
	info := &grpc.UnaryServerInfo{FullMethod: "/service/method"}
	_, err := intercept(context.Background(), nil, info, func(context.Context, any) (any, error) { panic("broken") })
	if status.Code(err) != codes.Internal || reported != info.FullMethod {
		t.Fatalf("error %v, reported %q", err, reported)
	}
}
