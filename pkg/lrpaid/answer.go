package lrpaid

import "net/http"

// MaxAnswerBytes is the largest body of an answer that a record keeps, so that the encoded record fits a value of the
// platform.
const MaxAnswerBytes = 640 << 10

// MaxHeaderBytes is the most that the headers of a kept answer may take.
const MaxHeaderBytes = 16 << 10

// An Answer is the answer of the service as the record keeps it.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Length is the length of the whole body in bytes.
	Length int `json:"length"`
	// Cut tells that the answer was too large to be kept. Then neither headers nor body are there.
	Cut bool `json:"cut,omitempty"`
}

// NewAnswer returns the answer, without its headers and body when they are too large for a record.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	answer := Answer{Status: status, Length: len(body)}
	if len(body) > MaxAnswerBytes || headerBytes(header) > MaxHeaderBytes {
		answer.Cut = true
		return answer
	}
	answer.Header, answer.Body = keptHeader(header), body
	return answer
}

func keptHeader(header http.Header) http.Header {
	kept := header.Clone()
	kept.Del("Set-Cookie")
	return kept
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, v := range values {
			total += len(name) + len(v)
		}
	}
	return total
}
