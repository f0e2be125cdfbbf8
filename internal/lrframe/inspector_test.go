package lrframe

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
)

func heads() []struct{ name, text, violation string } {
	return []struct{ name, text, violation string }{
		{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		{"two in a row", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n\n\n\n\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		{"chunked", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n", ""},
		{"both lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", "both Content-Length and Transfer-Encoding are given"},
		{"both in the second", "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", "both Content-Length and Transfer-Encoding are given"},
		{"equal lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", "there is more than one content-length header"},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx", "Content-Length is not a number"},
		{"two keys", "GET / HTTP/1.1\r\nHost: a\r\nAuthorization: b\r\nauthorization: c\r\n\r\n", "there is more than one authorization header"},
		{"LF alone", "GET / HTTP/1.1\nHost: a\n\n", "a line ends without CR LF"},
		{"LF within", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", "a line ends without CR LF"},
		{"CR within", "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", "a header holds a control character"},
		{"NUL", "GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", "a header holds a control character"},
		{"folded", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", "a header is folded over several lines"},
	}
}

func TestViolation(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, h := range heads() {
		t.Run(h.name, func(t *testing.T) {
			for range 50 {
				requireViolation(t, inspectSplit(random, []byte(h.text)), h.violation)
			}
		})
	}
}

// inspectSplit passes the data to an inspector in chunks of random length and returns the violation.
func inspectSplit(random *rand.Rand, data []byte) string {
	i := inspector{headLimits: headLimits{maxHead: 1 << 10}}
	for len(data) > 0 {
		n := 1 + random.IntN(len(data))
		i.inspect(data[:n])
		data = data[n:]
	}
	return i.violation()
}

func requireViolation(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Fatalf("violation %q, want %q", got, want)
	}
}

// FuzzInspect compares the framing with that of net/http: if the inspector finds no fault, both must determine the same length of the
// body. The result must not depend on how the data is split.
func FuzzInspect(f *testing.F) {
	for _, h := range heads() {
		f.Add([]byte(h.text), uint64(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, seed uint64) {
		whole := inspector{headLimits: headLimits{maxHead: 1 << 10}}
		whole.inspect(data)
		requireViolation(t, inspectSplit(rand.New(rand.NewPCG(seed, 5)), data), whole.violation())
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		end := headEnd(data, 0)
		if err != nil || whole.violation() != "" || end < 0 {
			return
		}
		parsed := parseHead(data[:end])
		if !parsed.chunked && parsed.contentLength != max(request.ContentLength, 0) {
			t.Fatalf("the length is %d, but %d for net/http", parsed.contentLength, request.ContentLength)
		}
		_, _ = io.Copy(io.Discard, request.Body)
	})
}
