package lrframe

import "sync/atomic"

// An inspector parses the bytes of one connection request by request. Only violation may be called concurrently with inspect.
type inspector struct {
	maxHead int
	// pending holds the bytes of an incomplete head.
	pending []byte
	// bodyRemaining is the number of bytes of the current body that have not been inspected.
	bodyRemaining int64
	// opaque is set when the rest of the connection is not inspected.
	opaque bool
	fault  atomic.Pointer[string]
}

// violation returns the first fault of the connection, or an empty string.
func (i *inspector) violation() string {
	fault := i.fault.Load()
	if fault == nil {
		return ""
	}
	return *fault
}

// inspect processes the next bytes of the connection.
func (i *inspector) inspect(data []byte) {
	for len(data) > 0 && !i.opaque {
		skipped := min(int64(len(data)), i.bodyRemaining)
		i.bodyRemaining -= skipped
		data = data[skipped:]
		if len(data) > 0 {
			data = i.consumeHead(data)
		}
	}
}

// consumeHead appends the data to the pending head and returns the bytes that follow the head.
func (i *inspector) consumeHead(data []byte) []byte {
	buffered := len(i.pending)
	i.pending = append(i.pending, data...)
	end := headEnd(i.pending, max(buffered-lineEndBytes, 0))
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
	i.bodyRemaining = parsed.contentLength
	i.opaque = parsed.chunked
	return data[end-buffered:]
}

func (i *inspector) fail(violation string) {
	i.fault.Store(&violation)
	i.opaque = true
	i.pending = nil
}
