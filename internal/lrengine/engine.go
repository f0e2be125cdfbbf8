// Package lrengine reaches the engines: backend servers that generate text from prompts.
package lrengine

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// The classes of failure of an engine.
var (
	// ErrNotSent means that no byte of the request reached the engine. Another engine can take it.
	ErrNotSent = errs.Class("engine: not sent")
	// ErrRefused means that the engine has refused the request without running it.
	ErrRefused = errs.Class("engine: refused")
	// ErrBroken means that the connection to the engine broke after the engine may have received the request.
	ErrBroken = errs.Class("engine: broken")
	// ErrFailed means that the engine has answered with an error, after which the request may have run in part.
	ErrFailed = errs.Class("engine: failed")
	// ErrSilent means that the engine has kept the connection open but sent nothing for too long.
	ErrSilent = errs.Class("engine: silent")
	// ErrProtocol means that the engine sent an event that does not belong to the request or its order.
	ErrProtocol = errs.Class("engine: protocol")
	// ErrStaleFence means that the engine has seen a higher fencing number than the order's.
	ErrStaleFence = errs.Class("engine: stale fencing number")
)

// A Request asks an engine to generate text.
type Request struct {
	RequestID string `json:"requestId"`
	// Salt separates the cache of one client account and weights version from all others.
	Salt      string `json:"salt"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	// Priority orders waiting requests on the engine. The higher value goes first.
	Priority int `json:"priority"`
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int `json:"resumeFrom,omitempty"`
	// Generated is the text of the tokens before ResumeFrom.
	Generated string `json:"generated,omitempty"`
	// ImportFrom is the address of the kept-KV store from which missing pieces may be imported.
	ImportFrom string `json:"importFrom,omitempty"`
}

// An Event is one step of a stream.
type Event struct {
	RequestID string `json:"requestId"`
	// Sequence counts the tokens of the whole answer from zero. It continues over a resumption.
	Sequence int    `json:"sequence"`
	Text     string `json:"text"`
	// Done marks the last event, which carries no text.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finishReason,omitempty"`
	// CachedTokens is the part of the prompt that was cached. It comes with the first event.
	CachedTokens int `json:"cachedTokens,omitempty"`
	// QueuedTokens is the prefill work waiting on the engine.
	QueuedTokens int    `json:"queuedTokens,omitempty"`
	Incarnation  string `json:"incarnation,omitempty"`
}

// A Load is what an engine reports of itself.
type Load struct {
	Incarnation  string `json:"incarnation"`
	QueuedTokens int    `json:"queuedTokens"`
	Running      int    `json:"running"`
	// Versions maps each loaded model to its weights version.
	Versions map[string]string `json:"versions"`
	// Adapters lists the loaded adapters.
	Adapters []string `json:"adapters"`
}

// A CacheEvent tells that an engine has stored or evicted a piece.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Piece is the identity of the piece in hexadecimal.
	Piece  string `json:"piece"`
	Stored bool   `json:"stored"`
}

// An EventBatch is a run of cache events. A hole between sequences means that events were lost.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        uint64       `json:"next"`
}

// An OrderKind says what an order wants.
type OrderKind string

const (
	// OrderLoad wants a model loaded at a version.
	OrderLoad OrderKind = "load"
	// OrderUnload wants a version of a model gone.
	OrderUnload OrderKind = "unload"
	// OrderAdapter wants an adapter loaded.
	OrderAdapter OrderKind = "adapter"
	// OrderRole wants a role taken.
	OrderRole OrderKind = "role"
)

// An Order states what an engine shall be like. Sent twice, it has the effect of once.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// ValidFor bounds how long after its receipt the order may still be carried out.
	ValidFor time.Duration `json:"validFor"`
}

// A Stream delivers the events of one request.
type Stream interface {
	// Next returns the next event, or an error of the classes of this package.
	Next() (Event, error)
	// Close ends the stream. A stream closed before its last event is not reused.
	Close() error
}

// An Engine is one backend server that generates text.
type Engine interface {
	// Generate starts a stream. The context ends it.
	Generate(ctx context.Context, request Request) (Stream, error)
	// Cancel tells the engine that nobody waits for the request any more.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the engine's report of itself.
	Load(ctx context.Context) (Load, error)
	// Events returns the cache events from the sequence on.
	Events(ctx context.Context, from uint64) (EventBatch, error)
	// Order gives an order and waits until it has been carried out.
	Order(ctx context.Context, order Order) error
}

// A Dialer returns the engine at an address.
type Dialer interface {
	Dial(address string) Engine
}
