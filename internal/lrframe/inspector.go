package lrframe

import "sync/atomic"

// An inspector follows the bytes of one connection from request to request. Only violation may be called by another
// goroutine than inspect.
type inspector struct {
	maxHead  int
	pending  []byte
	bodyLeft int64
	// opaque is set when the rest of the connection holds no further request.
	opaque bool
	fault  atomic.Pointer[string]
}

// violation returns the first fault of the connection, or an empty text.
func (i *inspector) violation() string {
	fault := i.fault.Load()
	if fault == nil {
		return ""
	}
	return *fault
}

// inspect takes the next bytes of the connection.
func (i *inspector) inspect(data []byte) {
	for len(data) > 0 && !i.opaque {
		skipped := min(int64(len(data)), i.bodyLeft)
		i.bodyLeft -= skipped
		data = data[skipped:]
		if len(data) > 0 {
			data = i.takeHead(data)
		}
	}
}

// takeHead adds to the pending head and returns what follows it.
func (i *inspector) takeHead(data []byte) []byte {
	before := len(i.pending)
	i.pending = append(i.pending, data...)
	end := headEnd(i.pending, max(before-lineEndBytes, 0))
	if max(end, 0) > i.maxHead || end < 0 && len(i.pending) > i.maxHead {
		i.fail("the headers are too large")
		return nil
	}
	if end < 0 {
		return nil
	}
	parsed := parseHead(i.pending[:end])
	if parsed.violation != "" {
		i.fail(parsed.violation)
		return nil
	}
	i.pending = i.pending[:0]
	i.bodyLeft = parsed.contentLength
	i.opaque = parsed.chunked
	return data[end-before:]
}

func (i *inspector) fail(violation string) {
	i.fault.Store(&violation)
	i.opaque = true
	i.pending = nil
}
