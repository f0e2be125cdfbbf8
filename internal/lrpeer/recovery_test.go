package lrpeer

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestPanicOfAHandlerBecomesAnError(t *testing.T) {
	told := ""
	intercept := recovery(func(method string, _ any) { told = method })
	info := &grpc.UnaryServerInfo{FullMethod: "/service/method"}
	_, err := intercept(context.Background(), nil, info, func(context.Context, any) (any, error) { panic("broken") })
	if status.Code(err) != codes.Internal || told != info.FullMethod {
		t.Fatalf("error %v, told %q", err, told)
	}
}
