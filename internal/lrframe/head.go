// Package lrframe inspects the framing of HTTP/1 requests before net/http reads them, and finds the ambiguous forms that net/http
// accepts but that another server on the path may frame differently (request smuggling). A head is the request line with the header
// fields, up to and including the blank line. A violation is the description of a framing fault.
package lrframe

import (
	"bytes"
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

// parseHead parses a complete head, including its blank line.
func parseHead(data []byte) head {
	lines := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	counts := map[string]int{}
	var parsed head
	for n, l := range lines {
		line, terminated := strings.CutSuffix(l, "\r")
		if !terminated {
			return head{violation: "a line ends without CR LF"}
		}
		if strings.ContainsFunc(line, isControl) {
			return head{violation: "a header holds a control character"}
		}
		if strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
			return head{violation: "a header is folded over several lines"}
		}
		name, value, found := strings.Cut(line, ":")
		if n == 0 || !found {
			continue
		}
		name = strings.ToLower(name)
		counts[name]++
		if name == "content-length" {
			parsed.contentLength, parsed.violation = parseLength(strings.TrimSpace(value))
		}
		if parsed.violation != "" {
			return parsed
		}
	}
	parsed.chunked = counts["transfer-encoding"] > 0
	parsed.violation = violationOf(counts)
	return parsed
}

func parseLength(value string) (int64, string) {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || strings.HasPrefix(value, "+") {
		return 0, "Content-Length is not a number"
	}
	return int64(length), ""
}

func violationOf(counts map[string]int) string {
	for _, single := range []string{"authorization", "content-length", "transfer-encoding", "host", "idempotency-key"} {
		if counts[single] > 1 {
			return "there is more than one " + single + " header"
		}
	}
	if counts["content-length"] > 0 && counts["transfer-encoding"] > 0 {
		return "both Content-Length and Transfer-Encoding are given"
	}
	return ""
}

func isControl(r rune) bool {
	return r <= lastControl && r != '\t' || r == 0x7f
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
