package lrgateway

import (
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// framingGuard refuses a request that two servers could parse differently, which allows request smuggling, and closes the
// connection.
type framingGuard struct{}

func (*framingGuard) Check(_ time.Time, call *Call) error {
	refusal := lrframe.Refusal(call.Request.Context())
	if refusal != nil {
		call.writer.Header().Set("Connection", "close")
		return refusal
	}
	violation := lrframe.Violation(call.Request.Context())
	for _, name := range []string{"Authorization", HeaderIdempotencyKey} {
		if len(call.Request.Header.Values(name)) > 1 {
			violation = "there is more than one " + name + " header"
		}
	}
	if violation == "" && isAmbiguousPath(call.Request.URL.Path) {
		violation = "the path holds a dot segment, a backslash or a control character"
	}
	if violation == "" {
		return nil
	}
	call.writer.Header().Set("Connection", "close")
	return lrerror.New(lrerror.KindBadRequest, lrerror.NotRun, "the request is malformed: %s; mend it and use a new connection", violation)
}

// isAmbiguousPath reports whether a backend server could resolve the path to one of another route.
func isAmbiguousPath(path string) bool {
	for _, p := range strings.Split(path, "/") {
		name, _, _ := strings.Cut(p, ";")
		if name == "." || name == ".." {
			return true
		}
	}
	return strings.ContainsFunc(path, func(r rune) bool { return r == '\\' || r < ' ' || r == 0x7f })
}
