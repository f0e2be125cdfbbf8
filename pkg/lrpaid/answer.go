package lrpaid

import "net/http"

// MaxAnswerBytes is the largest answer body that a record contains, so that the encoded record fits into a value of the
// platform.
const MaxAnswerBytes = 640 << 10

// MaxHeaderBytes is the largest total size of the headers of a recorded answer.
const MaxHeaderBytes = 16 << 10

// An Answer is the answer of the service as it is recorded.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Length is the length of the whole body in bytes.
	Length int `json:"length"`
	// Truncated means that the answer was too large to be recorded. Header and Body are empty then.
	Truncated bool `json:"cut,omitempty"`
}

// NewAnswer returns the answer to record. It omits headers and body when they are too large.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	answer := Answer{Status: status, Length: len(body)}
	if len(body) > MaxAnswerBytes || headerBytes(header) > MaxHeaderBytes {
		answer.Truncated = true
		return answer
	}
	answer.Header, answer.Body = recordedHeader(header), body
	return answer
}

// WithoutContent returns the answer without headers and body.
func (a Answer) WithoutContent() Answer {
	a.Header, a.Body, a.Truncated = nil, nil, true
	return a
}

func recordedHeader(header http.Header) http.Header {
	recorded := header.Clone()
	recorded.Del("Set-Cookie")
	return recorded
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
