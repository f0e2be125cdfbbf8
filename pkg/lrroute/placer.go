// Package lrroute decides which engine serves a request.
package lrroute

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// An Engine is what is known of one engine at the time of a decision.
type Engine struct {
	Name string
	Zone string
	// Incarnation changes whenever the engine restarts with an empty cache.
	Incarnation string
	// QueuedTokens is the prefill work ahead of a new request, as last reported.
	QueuedTokens int
	// Running is the number of requests being decoded, as last reported.
	Running int
	// ReportedAt is when the load was reported. It is zero when no report has come yet.
	ReportedAt time.Time
	// Unreachable engines are listed, but cannot take a request now.
	Unreachable bool
}

// A Request is what a placement decision needs to know of a request.
type Request struct {
	ID     string
	Scope  lrprefix.Scope
	Chain  []lrprefix.ID
	Tokens int
	// MaxOutput is the largest number of tokens that may be generated.
	MaxOutput int
	// Excluded names the engines that have failed this request.
	Excluded []string
}

// A Placement is the decision for one request.
type Placement struct {
	Engine string `json:"engine"`
	// Reason says in a few words why the engine was chosen.
	Reason string `json:"reason"`
	// ExpectedCachedTokens is the part of the prompt that the engine is believed to hold.
	ExpectedCachedTokens int `json:"expectedCachedTokens"`
	// ExpectedWait is the estimated time to the first token.
	ExpectedWait time.Duration `json:"expectedWait"`
	// ImportFrom is the address of the kept-KV store from which the engine shall import missing pieces. It is empty when
	// computing them is cheaper.
	ImportFrom string `json:"importFrom,omitempty"`
	// KnownTokens is the part of the prompt that some engine has lately computed or read, as far as is known.
	KnownTokens int `json:"knownTokens"`
	// Candidates is the number of engines that were compared.
	Candidates int `json:"candidates"`
}

// Feedback is what an answer tells about the engine that gave it.
type Feedback struct {
	Engine       string
	Incarnation  string
	Request      Request
	CachedTokens int
	QueuedTokens int
	FirstToken   time.Duration
}

// A Placer chooses engines. It is safe for use by several goroutines.
type Placer interface {
	// Place chooses an engine for the request. It reports false when no engine can take it.
	Place(now time.Time, request Request) (Placement, bool)
	// Learn takes in what an answer told when its first token arrived.
	Learn(now time.Time, feedback Feedback)
	// Finish takes back the load that Place counted for the request.
	Finish(now time.Time, engine string, request Request)
	// SetEngines replaces the engines among which Place chooses for a model.
	SetEngines(now time.Time, model string, engines []Engine)
}
