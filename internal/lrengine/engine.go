// Package lrengine is the client of the engines, the backend servers that generate text from prompts.
//
// An engine streams the events of a generation, reports its load, publishes the changes of its cache of prompt prefixes as
// cache events, and carries out orders, such as to load a version of a model's weights.
package lrengine

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// The classes of errors of an engine.
var (
	// ErrNotSent means that no byte of the request reached the engine, so it can be sent to another one.
	ErrNotSent = errs.Class("engine: not sent")
	// ErrRefused means that the engine refused the request without running it.
	ErrRefused = errs.Class("engine: refused")
	// ErrBroken means that the connection to the engine broke after the engine may have received the request.
	ErrBroken = errs.Class("engine: broken")
	// ErrFailed means that the engine responded with an error. The request may have run in part.
	ErrFailed = errs.Class("engine: failed")
	// ErrStalled means that the engine kept the connection open but sent nothing for too long.
	ErrStalled = errs.Class("engine: silent")
	// ErrProtocol means that the engine sent an event that is malformed, out of sequence or of another request.
	ErrProtocol = errs.Class("engine: protocol")
	// ErrStaleFence means that the engine has received a higher fencing number than that of the order.
	ErrStaleFence = errs.Class("engine: stale fencing number")
)

// A PauseError is the refusal of an engine that wants no request from this instance for a time. Other engines may take the request. Its class
// is ErrRefused.
type PauseError struct {
	Pause   time.Duration
	Message string
}

// Error returns the pause and the message of the engine.
func (e *PauseError) Error() string {
	return fmt.Sprintf("engine wants a pause of %s, send to another one: %s", e.Pause, e.Message)
}

// A Request asks an engine to generate text.
type Request struct {
	RequestID string `json:"requestId"`
	// Salt separates the cached prompt prefixes of a client account, model, adapter and weights version from all others.
	Salt      string `json:"salt"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	// Priority orders the waiting requests on the engine. Higher values run first.
	Priority int `json:"priority"`
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int `json:"resumeFrom,omitempty"`
	// Generated is the text of the tokens before ResumeFrom.
	Generated string `json:"generated,omitempty"`
	// ImportFrom is the address of the KV store from which the engine may import missing prefix blocks.
	ImportFrom string `json:"importFrom,omitempty"`
}

// An Event is one token of a generation, or its end.
type Event struct {
	RequestID string `json:"requestId"`
	// Sequence is the index of the token in the complete answer, from 0. It continues when the answer is resumed.
	Sequence int    `json:"sequence"`
	Text     string `json:"text"`
	// Done marks the last event, which carries no text.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finishReason,omitempty"`
	// CachedTokens is the number of prompt tokens that were in the engine's cache. Only the first event carries it.
	CachedTokens int `json:"cachedTokens,omitempty"`
	// QueuedTokens is the number of prompt tokens waiting for prefill on the engine.
	QueuedTokens int    `json:"queuedTokens,omitempty"`
	Incarnation  string `json:"incarnation,omitempty"`
}

// A Load is the status that an engine reports.
type Load struct {
	Incarnation  string `json:"incarnation"`
	QueuedTokens int    `json:"queuedTokens"`
	Running      int    `json:"running"`
	// Versions maps each loaded model to its weights version.
	Versions map[string]string `json:"versions"`
	// Adapters lists the loaded adapters.
	Adapters []string `json:"adapters"`
}

// A CacheEvent states that an engine has stored or evicted a prefix block, the unit in which engines cache prompt prefixes.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the identifier of the prefix block in hexadecimal.
	Block  string `json:"piece"`
	Stored bool   `json:"stored"`
}

// An EventBatch is a sequence of cache events. A gap between sequence numbers means that events were lost. Next is the sequence
// number from which to read on.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        uint64       `json:"next"`
}

// An OrderKind is the kind of an order.
type OrderKind string

const (
	// OrderLoad loads a version of a model.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads a version of a model.
	OrderUnload OrderKind = "unload"
	// OrderAdapter loads an adapter.
	OrderAdapter OrderKind = "adapter"
	// OrderRole assigns a role to the engine.
	OrderRole OrderKind = "role"
)

// An Order states the desired state of an engine. Orders are idempotent.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// FencingNumber is the fencing number of the lease under which the order is sent.
	FencingNumber uint64 `json:"fence"`
	// ValidFor is the time after its receipt in which the order may still be carried out.
	ValidFor time.Duration `json:"validFor"`
}

// A Stream delivers the events of one request.
type Stream interface {
	// Next returns the next event, or an error of one of the classes of this package.
	Next() (Event, error)
	// Close ends the stream. The connection of a stream closed before its last event is not reused.
	Close() error
}

// An Engine is one backend server that generates text.
type Engine interface {
	// Generate starts a generation. Canceling the context ends it.
	Generate(ctx context.Context, request Request) (Stream, error)
	// Cancel stops the request, whose result is no longer needed.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the status of the engine.
	Load(ctx context.Context) (Load, error)
	// Events returns the cache events from the given sequence number on.
	Events(ctx context.Context, from uint64) (EventBatch, error)
	// Order sends an order and waits until it has been carried out.
	Order(ctx context.Context, order Order) error
}

// A Dialer returns the engine at an address.
type Dialer interface {
	Dial(address string) Engine
}
