// Package lrbalance decides which backend server serves a request whose prompt is given as parts, from hashing that all
// instances agree on, the load that they tell one another, and what the instance itself has sent.
package lrbalance

import (
	"time"
)

// An Engine is what is known of one backend server at the time of a decision.
type Engine struct {
	ID      string
	Zone    string
	Slots   int
	Version int64
	// OutdatedFor is how long newer weights have been wanted.
	OutdatedFor time.Duration
	// IsDoubtful is set when nothing is heard from the engine's availability zone.
	IsDoubtful bool
	// IsClosing is set shortly before an order that stops the engine for a moment.
	IsClosing bool
}

// A Part is one piece of a prompt. Requests with the same leading parts share their cache.
type Part struct {
	ID     string
	Tokens int
}

// A Request is what a decision needs to know of a request.
type Request struct {
	// Scope separates caches from one another: the client account and the model. Versions of the weights are kept
	// apart by themselves.
	Scope string
	// Parts are the prompt, in order. The last part belongs to this request alone. Plain requests have none.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Target is the time within which the caller wants the first event. Zero means that it does not say.
	Target time.Duration
	// Instances is the number of instances that choose among the same backend servers.
	Instances int
	// Stores are the kept stores that engines may use.
	Stores []Store
	// Excluded are backend servers that have failed this request.
	Excluded map[string]bool
}

// A Load is the work of one backend server.
type Load struct {
	// Waiting are the prompt tokens of requests without a first event yet.
	Waiting int `json:"waiting"`
	// Running is the number of requests under way.
	Running int `json:"running"`
}

// Plus returns the sum of both loads.
func (l Load) Plus(other Load) Load {
	return Load{Waiting: l.Waiting + other.Waiting, Running: l.Running + other.Running}
}

// A Choice is the decision for one request.
type Choice struct {
	Engine Engine
	// Missing are the prompt tokens that the engine is expected to compute.
	Missing int
	// Wait is the expected time to the first event.
	Wait time.Duration
	// Rank is the engine's place in the order of hashing. Zero is the home of the prompt.
	Rank int
	// Candidates is the number of engines that were compared.
	Candidates int
	// Source is the engine from which the chosen one can fetch a part of the prompt. It is empty when there is none.
	Source string
	// Store is the kept store for the shared parts. FromStore tells that the chosen engine shall fetch from there, and IsSaved that it
	// shall save the parts there.
	Store     Store
	FromStore bool
	IsSaved   bool
	// Fetched are the prompt tokens that come from there.
	Fetched int
	// work is the time of the computation, in tokens of a short prompt.
	work int
	// cached are the tokens that the engine holds or is computing.
	cached int
	runs   []prefix
}
