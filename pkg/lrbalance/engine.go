// Package lrbalance chooses the backend server for each request. It combines a hash on which all instances agree, the
// load that the instances report to one another, and estimates of what each engine has cached.
//
// A prompt is given as a list of blocks, of which engines cache the computed state. All blocks but the last are shared
// with other requests. Their hash ranks the engines; the first engine in that order is the home of the prompt prefix. A
// KV store is an external store of cached blocks, from which engines fetch and to which they save. An instance estimates
// what these caches contain from the requests that it sent there, from what it has read there, and from the updates of
// other instances.
package lrbalance

import (
	"time"
)

// An Engine is the known state of one backend server at the time of a decision.
type Engine struct {
	ID    string
	Zone  string
	Slots int
	// Memory is the number of tokens that the engine can hold for running requests. With zero, memory is not considered.
	Memory  int
	Version int64
	// OutdatedFor is how long weights newer than those of the engine have been desired.
	OutdatedFor time.Duration
	// IsZoneUnreachable means that no messages are received from the engine's availability zone.
	IsZoneUnreachable bool
	// IsDraining means that the engine is about to get an order that interrupts it. It gets requests only if no other
	// engine is usable.
	IsDraining bool
	// IsHeldBack means that the engine wants no request now. It may still be fetched from.
	IsHeldBack bool
	// Preference is the part of the requests, from 0 to 1, for which the engine is preferred a little, because only few of the instances may
	// send to it.
	Preference float64
}

// A Block is one block of a prompt. Requests with the same leading blocks can use the same cache entries.
type Block struct {
	ID     string
	Tokens int
}

// A Request holds the properties of a request on which the decision depends.
type Request struct {
	// Scope is the client account and the model. Requests of different scopes share no cache. The version of the weights
	// is part of the cache key and needs no place here.
	Scope string
	// Blocks are the blocks of the prompt, in order. The last one belongs to this request alone. Requests to plain
	// services have none.
	Blocks []Block
	// Tokens is the length of the whole prompt.
	Tokens int
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int
	// Urgency is the priority of the request. The lowest value is served first, and others are preempted for it.
	Urgency int
	// Service is the service of the engines. Speeds are learned for each service.
	Service string
	// Target is the time within which the caller wants the first event. Zero means that there is no target.
	Target time.Duration
	// Instances is the number of instances that choose among the same backend servers.
	Instances int
	// Stores are the KV stores that engines may use for the request.
	Stores []Store
	// Excluded are the IDs of backend servers that have failed this request.
	Excluded map[string]bool
}

// A Load is the load of one backend server.
type Load struct {
	// Waiting is the number of prompt tokens of the requests whose first event has not arrived.
	Waiting int `json:"waiting"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Held is the number of tokens that requests in progress hold or will hold: prompts and outputs. It is zero where the memory of the
	// server is not known.
	Held int `json:"held,omitempty"`
	// SlownessSum and SlownessWeight are what recent samples say of the speed of the server. See WithSlowness.
	SlownessSum    int `json:"slownessSum,omitempty"`
	SlownessWeight int `json:"slownessWeight,omitempty"`
}

// Plus returns the sum of both loads.
func (l Load) Plus(other Load) Load {
	return Load{
		Waiting: l.Waiting + other.Waiting, Running: l.Running + other.Running, Held: l.Held + other.Held,
		SlownessSum: l.SlownessSum + other.SlownessSum, SlownessWeight: l.SlownessWeight + other.SlownessWeight,
	}
}

// A Choice is the decision for one request.
type Choice struct {
	Engine Engine
	// Missing is the number of prompt tokens that the engine is expected to compute.
	Missing int
	// Wait is the expected time to the first event.
	Wait time.Duration
	// Rank is the engine's position in the order by hash. Zero is the home of the prompt.
	Rank int
	// Candidates is the number of usable engines among which the choice was made.
	Candidates int
	// Source is the ID of the engine from which the chosen one can fetch cached blocks. It is empty when there is none.
	Source string
	// Store is the KV store for the shared blocks. FromStore means that the chosen engine shall fetch blocks from there,
	// and IsSaved that it shall save the blocks there.
	Store            Store
	FetchesFromStore bool
	SavesToStore     bool
	// Fetched is the number of prompt tokens that are expected to be fetched from the source or the store.
	Fetched int
	// work is the computation time, expressed as the number of tokens of a short prompt that take as long.
	work int
	// isPreferred is set when the engine is preferred for this request.
	isPreferred bool
	// cached is the number of tokens that the engine is assumed to hold or to be computing.
	cached int
	blocks []prefixBlock
	// placedWait is the wait by which the engine was compared with others.
	placedWait time.Duration
	// chosenAt is when the choice was made for the service. features are the parts of Wait, usual is Wait at an engine of usual speed, and
	// compute the expected time to compute the missing tokens. isQueued means that the request is expected to wait for a slot or memory.
	chosenAt time.Time
	service  string
	features features
	usual    time.Duration
	compute  time.Duration
	// ownTokens are the tokens that the request holds at the engine beside its shared blocks.
	ownTokens int
	isQueued  bool
}
