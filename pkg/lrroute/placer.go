// Package lrroute decides which engine serves a request.
//
// A prompt is divided into prefix blocks, the units that engines cache; the chain of a request lists their identities in order. A Placer
// compares a few candidate engines by the estimated time to the first token, which depends on the prefill work queued at an engine and on
// the leading blocks that the engine has cached.
//
// What an engine has cached is estimated from its holder entries (the engine computed, read or reported a block) and from consistent
// hashing, by which all instances send a prefix to the same subset of engines without exchanging messages. The home engine of a prompt is
// the first engine that hashing chooses for it. Engines may also import blocks from a KV store, an external store of key/value caches.
//
// An incarnation is one run of an engine: a restarted engine has a new incarnation and an empty cache.
package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// An Engine describes one engine at the time of a decision.
type Engine struct {
	Name string
	Zone string
	// Incarnation changes whenever the engine restarts with an empty cache.
	Incarnation string
	// QueuedTokens is the prefill work ahead of a new request in tokens, as last reported.
	QueuedTokens int
	// Running is the number of requests being decoded, as last reported.
	Running int
	// ReportedAt is when the load was reported. It is zero before the first report.
	ReportedAt time.Time
	// Unreachable engines are listed but cannot take a request now.
	Unreachable bool
}

// A Request holds the properties of a request on which its placement depends.
type Request struct {
	ID    string
	Scope lrprefix.Scope
	Chain []lrprefix.ID
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutputTokens is the maximum number of tokens to generate.
	MaxOutputTokens int
	// Excluded names the engines that have already failed this request.
	Excluded []string
}

// A Placement is the decision for one request.
type Placement struct {
	Engine string `json:"engine"`
	// Reason names the rule that made the engine a candidate.
	Reason string `json:"reason"`
	// ExpectedCachedTokens is the number of prompt tokens that the engine is estimated to have cached.
	ExpectedCachedTokens int `json:"expectedCachedTokens"`
	// ExpectedWait is the estimated time to the first token.
	ExpectedWait time.Duration `json:"expectedWait"`
	// ImportFrom is the address of the KV store from which the engine shall import missing blocks. It is empty when
	// computing them is cheaper.
	ImportFrom string `json:"importFrom,omitempty"`
	// KnownTokens is the number of leading prompt tokens that some engine is known to have recently computed or read.
	KnownTokens int `json:"knownTokens"`
	// Candidates is the number of engines that were compared.
	Candidates int `json:"candidates"`
}

// Feedback is what the response to a request shows about its engine.
type Feedback struct {
	Engine       string
	Incarnation  string
	Request      Request
	CachedTokens int
	QueuedTokens int
	// TimeToFirstToken is the time to the first token.
	TimeToFirstToken time.Duration
}

// A Placer chooses engines. It is safe for concurrent use.
type Placer interface {
	// Place chooses an engine for the request. It reports false when no engine can take it.
	Place(now time.Time, request Request) (Placement, bool)
	// Learn updates the estimates when the first token of a response has arrived.
	Learn(now time.Time, feedback Feedback)
	// Finish removes the load that Place counted for the request.
	Finish(now time.Time, engine string, request Request)
	// SetEngines replaces the engines among which Place chooses for a model.
	SetEngines(now time.Time, model string, engines []Engine)
}
