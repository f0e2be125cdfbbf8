package crowdtest

import (
	"encoding/binary"
	"strings"
	"testing"
)

const (
	// endlessBytes is the size of a head that is sent to a port without its end.
	endlessBytes = 512 << 10
	// frameBytes is the size of the payload of an HTTP/2 frame.
	frameBytes = 16000

	frameHeaders      = 0x1
	frameSettings     = 0x4
	frameContinuation = 0x9
	frameHeadBytes    = 9
)

// SendEndlessHeads opens the number of connections to the address, and sends on each of them a large head without its end, in HTTP/1.1 or
// in frames of HTTP/2.
func SendEndlessHeads(t *testing.T, address string, count int, isHTTP2 bool) *Crowd {
	t.Helper()
	if isHTTP2 {
		return SendText(t, address, count, http2Head(endlessBytes))
	}
	return SendText(t, address, count, "GET /metrics HTTP/1.1\r\nHost: h\r\n"+lines(func(n int) string {
		return strings.TrimSuffix(twoLetters(n), ":\r\n") + twoLetters(n/2601)
	}, endlessBytes))
}

// SendText opens the number of connections to the address, sends the text on each of them, and keeps them open until the end of the test.
func SendText(t *testing.T, address string, count int, text string) *Crowd {
	t.Helper()
	return Send(t, address, count, Kind{isPlain: true}, text)
}

// http2Head returns the beginning of an HTTP/2 connection with a head of the size that does not end.
func http2Head(bytes int) string {
	var text strings.Builder
	text.WriteString("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	text.WriteString(frame(frameSettings, 0, ""))
	field := "\x00\x02ab\x00"
	payload := strings.Repeat(field, frameBytes/len(field))
	kind := byte(frameHeaders)
	for text.Len() < bytes {
		text.WriteString(frame(kind, 1, payload))
		kind = frameContinuation
	}
	return text.String()
}

func frame(kind byte, stream uint32, payload string) string {
	head := make([]byte, frameHeadBytes)
	binary.BigEndian.PutUint32(head, uint32(len(payload))<<8|uint32(kind))
	binary.BigEndian.PutUint32(head[5:], stream)
	return string(head) + payload
}
