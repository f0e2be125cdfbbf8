// Package lrpipeline processes a request from its arrival to its answer: it identifies the client account, checks the rate limit and
// the deadline (admission), chooses a backend server (placement), sends the request, relays the answer and records the outcome. A request
// that failed is retried where its route allows that and the retry budget of the service has something left.
//
// The package knows no wire protocol. Callers and backend servers are reached through the interfaces Caller and Backend.
package lrpipeline

import (
	"context"
	"io"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
)

// A Request is one request of a caller.
type Request struct {
	// ID identifies this request. The caller chooses it.
	ID   string
	Host string
	// Path is the path without the query.
	Path string
	// Key is the API key that the caller sent.
	Key string
	// Received is the time at which the request was read.
	Received time.Time
	// CallerTimeout is the timeout that the caller set. Zero means that it set none.
	CallerTimeout time.Duration
	// Model names the model. It is empty for plain requests.
	Model string
	// Blocks are the blocks of the prompt, in order.
	Blocks []lrbalance.Block
	// PromptTokens is the length of the prompt, and OutputTokens the maximum number of tokens to generate.
	PromptTokens int
	OutputTokens int
	// HasTokens is set when the caller stated PromptTokens and OutputTokens.
	HasTokens bool
	// Digest is equal for requests of the same caller with the same content.
	Digest string
	// Payload is what the Backend needs to send the request. It is opaque to the pipeline.
	Payload any
}

// sharedParts returns the IDs of the first parts of the prompt that other requests may share, which are all but the last.
func (r *Request) sharedParts(limit int) []string {
	shared := r.Blocks[:min(max(len(r.Blocks)-1, 0), limit)]
	ids := make([]string, 0, len(shared))
	for _, b := range shared {
		ids = append(ids, b.ID)
	}
	return ids
}

// An Attempt is a request as it is sent to one backend server.
type Attempt struct {
	Request *Request
	Server  lrfleet.Server
	// MaxConnections is the maximum number of connections from this instance to the server. Zero means no limit.
	MaxConnections int
	// Account is the client account that the request runs for. It is empty on routes that need no key.
	Account string
	// CacheScope keeps the caches of different accounts and weights versions apart. It is empty for requests without a model.
	CacheScope string
	// Urgency is the priority of the request. The lowest value is served first.
	Urgency int
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Version is the weights version that the server must have. Zero accepts any.
	Version int64
	// FetchFrom is the address of a server or KV store that holds cached blocks of the prompt under the same cache scope. It is empty
	// when nothing is to be fetched.
	FetchFrom string
	// SaveTo is the address of the KV store to which the server sends the prompt blocks that it computes. It is empty when nothing is
	// saved.
	SaveTo string
	// BeforeSend is called just before the first byte is written. An error cancels the attempt.
	BeforeSend func() error
	// ResumeAfter is the ID of the last event that the caller received. It is empty when the stream starts from the beginning.
	ResumeAfter string
}

// Refusal is the reason why a backend server did not run a request.
type Refusal string

const (
	// Accepted means that the backend server ran the request.
	Accepted Refusal = ""
	// RefusedBusy means that the backend server is at capacity or is changing its weights.
	RefusedBusy Refusal = "busy"
	// RefusedOtherServer means that the address now belongs to another server.
	RefusedOtherServer Refusal = "otherServer"
	// RefusedOtherVersion means that the server has another weights version than Attempt.Version.
	RefusedOtherVersion Refusal = "otherVersion"
	// RefusedOther is any other answer that proves that the request did not run.
	RefusedOther Refusal = "other"
)

// A Reply is the answer of a backend server. Its head has been read, its body has not.
type Reply struct {
	// Refusal is Accepted when the request ran.
	Refusal Refusal
	Status  int
	// IsUnprovenRefusal is set when the status tells callers that the request did not run, although the backend server did not state that. The
	// request may have run then.
	IsUnprovenRefusal bool
	// Head is what the Caller needs to write the head of the answer. It is opaque to the pipeline.
	Head any
	// Body returns io.EOF only when the answer is complete.
	Body io.Reader
	// Length is the length of the body in bytes. It is negative when the length is not known in advance.
	Length int64
	// EndsWithConnection is set when nothing but the end of the connection marks the end of the body.
	EndsWithConnection bool
	// Version is the weights version that produced the answer. Zero means unknown.
	Version int64
	// Notice is what the backend server says of itself.
	Notice lrnotice.Notice
	// Close must be called when the reply has been read or is abandoned.
	Close func()
}

// IsSuccess reports whether the backend server ran the request and answered with a 2xx status.
func (r *Reply) IsSuccess() bool { return r.Refusal == Accepted && r.Status >= 200 && r.Status < 300 }

// A Backend sends attempts to backend servers. Its errors belong to the error classes of package lrconn.
type Backend interface {
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
	// Events returns a reader of the events in the body of a stream.
	Events(reply *Reply) EventReader
}

// An EventReader reads the events of a stream.
type EventReader interface {
	// Next returns the next complete event, whose bytes are valid until the next call. It returns io.EOF only when the stream is complete.
	Next() (Event, error)
}

// An Event is one event of a stream. Bytes go to the caller unchanged.
type Event struct {
	ID    string
	Bytes []byte
}

// A Caller receives the answer to a request. The first call is exactly one of the three that start an answer: a refusal, a complete
// answer or a head.
type Caller interface {
	// Refuse answers with an error of the router itself.
	Refuse(refusal *lrerror.Error)
	// Answer sends a complete answer of a backend server.
	Answer(reply *Reply, body []byte) error
	// Begin sends the head of an answer whose body follows in events or chunks. The body must have exactly the given number of bytes,
	// unless length is negative.
	Begin(reply *Reply, length int64) error
	// Event sends an event of a stream, or a chunk of the body of a large answer.
	Event(event Event) error
	// Abort ends the answer in a way that lets the caller detect that it is incomplete.
	Abort()
}
