// Package lrpipeline leads each request from its arrival to its answer: identify, admit, place, send, relay, account.
// It knows neither how callers nor how backend servers are spoken to.
package lrpipeline

import (
	"context"
	"io"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// A Request is one request of a caller.
type Request struct {
	// ID is the caller's name for this attempt.
	ID   string
	Host string
	// Path is the path without the query.
	Path string
	// Key is what the caller has shown of itself.
	Key string
	// Received is when the request was read.
	Received time.Time
	// Patience is how long the caller waits. Zero means that it did not say.
	Patience time.Duration
	// Model names the model. It is empty for plain requests.
	Model string
	// Parts are the prompt, in order.
	Parts []lrbalance.Part
	// PromptTokens and OutputTokens are the length of the prompt and the most that may be generated.
	PromptTokens int
	OutputTokens int
	// HasTokens tells that the caller has stated its tokens.
	HasTokens bool
	// Digest is the same for requests of the same caller with the same content.
	Digest string
	// Payload is what the backend port needs to send the request. The pipeline does not look into it.
	Payload any
}

// An Attempt is one sending of a request to one backend server.
type Attempt struct {
	Request *Request
	Server  lrfleet.Server
	// Connections is the most connections that this instance may have to the server. Zero means no bound.
	Connections int
	// Account is the client account that the request runs for. It is empty where none is needed.
	Account string
	// CacheScope separates the caches of accounts and versions.
	CacheScope string
	// Urgency ranks the request. The lowest value goes first.
	Urgency int
	// TimeLeft is how long the backend server may work on the request.
	TimeLeft time.Duration
	// Version is the version of the weights that the server must have. Zero accepts any.
	Version int64
	// FetchFrom is the address of a server or kept store that holds a part of the prompt under the same cache scope.
	FetchFrom string
	// SaveTo is the address of the store to which the server sends what it computes of the prompt. It is empty when nothing is saved.
	SaveTo string
	// MayLeave is asked last before the first byte leaves. An error holds the attempt back.
	MayLeave func() error
	// ResumeAfter is the last event that the caller has got. Empty means that the stream begins.
	ResumeAfter string
}

// Refusal says why a backend server did not run a request.
type Refusal string

const (
	// Accepted means that the backend server ran the request.
	Accepted Refusal = ""
	// RefusedBusy means that the backend server is full or changing.
	RefusedBusy Refusal = "busy"
	// RefusedElsewhere means that another server has the address now.
	RefusedElsewhere Refusal = "otherServer"
	// RefusedVersion means that the server has other weights than expected.
	RefusedVersion Refusal = "otherVersion"
	// RefusedOther is any other proof that the request did not run.
	RefusedOther Refusal = "other"
)

// A Reply is the answer of a backend server, whose content is still to be read.
type Reply struct {
	// Refusal is empty when the request ran.
	Refusal Refusal
	Status  int
	// Head is what the caller port needs to pass the answer on. The pipeline does not look into it.
	Head any
	// Body ends with io.EOF only when the answer is whole.
	Body io.Reader
	// Length is the number of bytes of the body, or negative where it is not known before its end.
	Length int64
	// Version is the version of the weights that the answer was made on, or zero.
	Version int64
	// Close must be called when the reply has been read or is given up.
	Close func()
}

// IsSuccess reports whether the backend server answered as asked.
func (r *Reply) IsSuccess() bool { return r.Refusal == Accepted && r.Status >= 200 && r.Status < 300 }

// A Backend sends attempts to backend servers. Errors are of lrconn's classes.
type Backend interface {
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
	// Events splits the body of a stream into events.
	Events(reply *Reply) EventReader
}

// An EventReader reads the events of a stream.
type EventReader interface {
	// Next returns the next whole event. It returns io.EOF only when the stream is complete.
	Next() (Event, error)
}

// An Event is one event of a stream, with its bytes as the caller gets them.
type Event struct {
	ID    string
	Bytes []byte
}

// A Caller takes the answer to a request. Exactly one of Refuse, Answer and Begin is called first.
type Caller interface {
	// Refuse ends the request with an answer of the router's own.
	Refuse(refusal *lrerror.Error)
	// Answer passes a whole answer of a backend server on.
	Answer(reply *Reply, body []byte) error
	// Begin passes the head of an answer on that is passed on as it comes. A length that is not negative must be kept to.
	Begin(reply *Reply, length int64) error
	// Event passes an event on, or a piece of another answer.
	Event(event Event) error
	// Abort ends the answer so that the caller sees that it is not whole.
	Abort()
}
