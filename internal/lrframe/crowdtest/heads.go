// Package crowdtest plays clients that send requests of legal size and unusual form to a process of the router, and measures the memory
// and the descriptors of that process.
package crowdtest

import (
	"fmt"
	"strings"
)

// HeadBytes is the size of each head, the value of max_header_bytes in the operators' configuration.
const HeadBytes = 16384

// A Kind is one form of request.
type Kind struct {
	Name string
	// fill returns header line n of a head.
	fill func(n int) string
	// end follows the header lines.
	end string
	// body is sent after the head.
	body string
	// copies is the number of requests that are sent one after the other, without reading an answer. Zero means one.
	copies int
	// fields are added to the ordinary fields of the head.
	fields string
	// isPlain leaves out the additional header lines.
	isPlain bool
	// aborts closes each connection after it has sent its bytes, and sends the same on new connections.
	aborts bool
	// isSlow sends small pieces of the body one after the other, until the end of the test.
	isSlow bool
}

const (
	lineEnd = "\r\n"
	// withLength announces a body. Clients that do not send it keep their request unfinished.
	withLength = "Content-Length: 100000\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n"
	// nameLetters are characters of header names that stay distinct when the name is written in its canonical form.
	nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
)

// Kinds returns the forms of requests that the tests send.
func Kinds() []Kind {
	return []Kind{
		{Name: "one-letter names", fill: oneLetter, end: lineEnd, fields: withLength},
		{Name: "distinct names", fill: twoLetters, end: lineEnd, fields: withLength},
		{Name: "one name", fill: func(int) string { return "a:\r\n" }, end: lineEnd, fields: withLength},
		{Name: "unusual bytes", fill: func(n int) string { return strings.TrimSuffix(twoLetters(n), lineEnd) + "\xff\t\r\n" }, end: lineEnd, fields: withLength},
		{Name: "folded lines", fill: func(n int) string { return oneLetter(n) + " \r\n" }, end: lineEnd, fields: withLength},
		{Name: "lines without CR", fill: func(n int) string { return strings.ReplaceAll(twoLetters(n), lineEnd, "\n") }, end: lineEnd, fields: withLength},
		{Name: "unfinished heads", fill: twoLetters, fields: withLength},
		{Name: "pipelined", fill: twoLetters, end: lineEnd, fields: "Content-Length: 0\r\n", copies: 4},
		{Name: "expect", fill: twoLetters, end: lineEnd, fields: withLength + "Expect: 100-continue\r\n"},
		{Name: "upgrade", fill: twoLetters, end: lineEnd, fields: withLength + "Connection: upgrade\r\nUpgrade: websocket\r\n"},
		{Name: "chunk extensions", fill: twoLetters, end: lineEnd, fields: chunked, body: "1;" + strings.Repeat("a=b;", 500) + "\r\nx\r\n"},
		{Name: "trailers", fill: twoLetters, end: lineEnd, fields: chunked, body: "0\r\n" + lines(twoLetters, 4000)},
		{Name: "bodies not sent", isPlain: true, end: lineEnd, fields: "Content-Length: 4194304\r\n"},
		{Name: "bodies sent in part", isPlain: true, end: lineEnd, fields: "Content-Length: 4194304\r\n", body: strings.Repeat("x", 256<<10)},
		{Name: "bodies sent slowly", isPlain: true, end: lineEnd, fields: "Content-Length: 4194304\r\n", isSlow: true},
		{Name: "aborted", fill: twoLetters, end: lineEnd, fields: withLength, aborts: true},
	}
}

// text returns the bytes that a client sends. The start is a request line and the ordinary fields.
func (k Kind) text(start string) string {
	head := start + k.fields
	if !k.isPlain {
		head += lines(k.fill, HeadBytes-len(head)-len(k.end))
	}
	return strings.Repeat(head+k.end+k.body, max(k.copies, 1))
}

// lines returns as many header lines as fit into the bytes.
func lines(fill func(n int) string, bytes int) string {
	var text strings.Builder
	for n := 0; ; n++ {
		line := fill(n)
		if text.Len()+len(line) > bytes {
			return text.String()
		}
		text.WriteString(line)
	}
}

func oneLetter(n int) string { return nameLetters[n%len(nameLetters):n%len(nameLetters)+1] + ":\r\n" }

func twoLetters(n int) string {
	count := len(nameLetters)
	return fmt.Sprintf("%c%c:\r\n", nameLetters[n/count%count], nameLetters[n%count])
}
