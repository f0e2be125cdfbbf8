package lrframe

import (
	"bytes"
	"sync/atomic"
)

// The memory that a head uses while its request is served, in bytes. Parsed by net/http and forwarded to a backend server, a line takes up
// to 180 bytes beside its text, and the text is held four times. An element of a list takes up to 60 bytes.
const (
	lineCost    = 192
	elementCost = 64
	byteCost    = 4
)

// requestLines are the lines of a head that are no header lines: the request line and the blank line.
const requestLines = 2

// An inspector parses the bytes of one connection request by request. Only violation may be called concurrently with inspect.
type inspector struct {
	headLimits
	// pending holds the bytes of an incomplete head.
	pending []byte
	// bodyRemaining is the number of bytes of the current body that have not been inspected.
	bodyRemaining int64
	// opaque is set when the rest of the connection is not inspected.
	opaque bool
	fault  atomic.Pointer[string]
	// lines is the number of lines of the incomplete head, and cost the memory that it needs.
	lines int
	cost  int
	// uncounted is the number of bytes after a fault that net/http may still parse as a head.
	uncounted int
	// completed are the heads that were completed since the last call of takeCompleted.
	completed []completedHead
	// hasTooManyLines is set when a head has more lines than allowed, and hasTooManyBytes when it is larger than allowed.
	hasTooManyLines bool
	hasTooManyBytes bool
}

// headLimits bound the head of a request.
type headLimits struct {
	// maxHead is the size of the largest head.
	maxHead int
	// maxLines bounds the header lines of a head. Zero means no bound.
	maxLines int
}

// A completedHead is what a complete head costs, and whether a body follows it.
type completedHead struct {
	cost    int
	hasBody bool
}

// violation returns the first fault of the connection, or an empty string.
func (i *inspector) violation() string {
	fault := i.fault.Load()
	if fault == nil {
		return ""
	}
	return *fault
}

// takeCompleted returns the heads that were completed since its last call.
func (i *inspector) takeCompleted() []completedHead {
	completed := i.completed
	i.completed = nil
	return completed
}

// isBetweenRequests reports whether the next bytes begin a request.
func (i *inspector) isBetweenRequests() bool {
	return !i.opaque && len(i.pending) == 0 && i.bodyRemaining == 0
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
	if len(data) > 0 && i.uncounted > 0 {
		counted := data[:min(len(data), i.uncounted)]
		i.uncounted -= len(counted)
		i.count(counted)
	}
}

// consumeHead appends the data to the pending head and returns the bytes that follow the head.
func (i *inspector) consumeHead(data []byte) []byte {
	buffered := len(i.pending)
	i.pending = append(i.pending, data...)
	end := headEnd(i.pending, max(buffered-lineEndBytes, 0))
	if end < 0 {
		i.count(data)
	} else {
		i.count(data[:end-buffered])
	}
	if max(end, 0) > i.maxHead || end < 0 && len(i.pending) > i.maxHead {
		i.hasTooManyBytes = true
		i.fail("the headers are too large")
		return nil
	}
	if i.maxLines > 0 && i.lines > i.maxLines+requestLines {
		i.hasTooManyLines = true
		i.fail("there are too many header lines")
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
	i.bodyRemaining = parsed.contentLength
	i.opaque = parsed.chunked
	i.complete(parsed.chunked || parsed.contentLength > 0)
	return data[end-buffered:]
}

// count adds the data to what the incomplete head costs.
func (i *inspector) count(data []byte) {
	lines := bytes.Count(data, []byte("\n"))
	i.lines += lines
	i.cost += lines*lineCost + bytes.Count(data, []byte(","))*elementCost + len(data)*byteCost
}

// expectedCost returns what the incomplete head will cost if the rest of it is like its beginning. It is charged as soon as the head turns
// out to be no ordinary one, so that memory which it will not get is not spent on its first part.
func (i *inspector) expectedCost() int {
	size := len(i.pending)
	if i.cost <= allotmentBytes/2 || size == 0 {
		return i.cost
	}
	return i.cost * max(i.maxHead-netHTTPSlack, size) / size
}

// complete ends the current head.
func (i *inspector) complete(hasBody bool) {
	i.completed = append(i.completed, completedHead{cost: i.cost, hasBody: hasBody})
	i.pending, i.lines, i.cost = nil, 0, 0
}

// fail records the fault. net/http may go on to parse the head, so that further bytes are still counted.
func (i *inspector) fail(violation string) {
	i.fault.Store(&violation)
	i.opaque = true
	i.uncounted = i.maxHead
	i.pending = nil
}
