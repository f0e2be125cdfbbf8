// Package lrframe inspects the framing of HTTP/1 requests before net/http reads them, and finds the ambiguous forms that net/http
// accepts but that another server on the path may frame differently (request smuggling). A head is the request line with the header
// fields, up to and including the blank line. A violation is the description of a framing fault.
package lrframe

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

const (
	// lastControl is the highest ASCII control character below the space.
	lastControl = 0x1f
	// lineEndBytes is the largest number of bytes at the end of the data that can belong to an incomplete end of the head.
	lineEndBytes = 3
)

// A head is what a request head states about the framing of its body.
type head struct {
	// violation describes the fault of the head. It is empty if there is none.
	violation string
	chunked   bool
	// contentLength is the length of the body in bytes.
	contentLength int64
}

// The headers that may occur once only, in the order of head counts.
const (
	authorization = iota
	contentLength
	transferEncoding
	host
	idempotencyKey
	singleHeaders
)

func singleNames() [singleHeaders]string {
	return [singleHeaders]string{"authorization", "content-length", "transfer-encoding", "host", "idempotency-key"}
}

// parseHead parses a complete head, including its blank line. It allocates no memory for the lines, since their number is the choice of the
// client.
func parseHead(data []byte) head {
	var counts [singleHeaders]int
	var parsed head
	rest, found := bytes.TrimSuffix(data, []byte("\n")), true
	for n := 0; found; n++ {
		var l []byte
		l, rest, found = bytes.Cut(rest, []byte("\n"))
		line, terminated := bytes.CutSuffix(l, []byte("\r"))
		if violation := lineViolation(line, terminated); violation != "" {
			return head{violation: violation}
		}
		name, value, hasName := bytes.Cut(line, []byte(":"))
		if n == 0 || !hasName {
			continue
		}
		single := singleIndex(name)
		if single < 0 {
			continue
		}
		counts[single]++
		if single == contentLength {
			parsed.contentLength, parsed.violation = parseLength(string(bytes.TrimSpace(value)))
		}
		if parsed.violation != "" {
			return parsed
		}
	}
	parsed.chunked = counts[transferEncoding] > 0
	parsed.violation = violationOf(counts)
	return parsed
}

func lineViolation(line []byte, terminated bool) string {
	switch {
	case !terminated:
		return "a line ends without CR LF"
	case slices.ContainsFunc(line, isControl):
		return "a header holds a control character"
	case bytes.HasPrefix(line, []byte(" ")) || bytes.HasPrefix(line, []byte("\t")):
		return "a header is folded over several lines"
	default:
		return ""
	}
}

// singleIndex returns the index of the header among those that may occur once only, or -1.
func singleIndex(name []byte) int {
	for n, single := range singleNames() {
		if len(name) == len(single) && strings.EqualFold(string(name), single) {
			return n
		}
	}
	return -1
}

func parseLength(value string) (int64, string) {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || strings.HasPrefix(value, "+") {
		return 0, "Content-Length is not a number"
	}
	return int64(length), ""
}

func violationOf(counts [singleHeaders]int) string {
	for n, single := range singleNames() {
		if counts[n] > 1 {
			return "there is more than one " + single + " header"
		}
	}
	if counts[contentLength] > 0 && counts[transferEncoding] > 0 {
		return "both Content-Length and Transfer-Encoding are given"
	}
	return ""
}

func isControl(b byte) bool {
	return b <= lastControl && b != '\t' || b == 0x7f
}

// headEnd returns the length of the head at the start of the data, or -1 if the head is incomplete. The caller knows that the head
// does not end before from.
func headEnd(data []byte, from int) int {
	for at := from; ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return -1
		}
		at += next + 1
		switch {
		case bytes.HasPrefix(data[at:], []byte("\r\n")):
			return at + 2
		case bytes.HasPrefix(data[at:], []byte("\n")):
			return at + 1
		}
	}
}
