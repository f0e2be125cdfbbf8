// Package lrtable holds the routing table: the routes, services, client accounts and limits that are in force, as the
// request path needs them.
package lrtable

import "time"

// Kind says what may be repeated of a request.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming requests are answered by a series of events. They run at most once, unless the route is resumable.
	Streaming Kind = "streaming"
)

// A Spec is one version of the routing table as the operator gave it.
type Spec struct {
	// Version rises with each change.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// KeptStores keep KV cache beside the engines. They take no requests of callers.
	KeptStores []KeptStore `json:"keptStores,omitempty"`
	Accounts   []Account   `json:"accounts"`
	Limits     Limits      `json:"limits"`
}

// A Route leads the requests of a host and a path to services.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	Kind       Kind   `json:"kind"`
	// Timeout is the longest that a request may be kept waiting. Zero means no bound.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time within which callers want the answer, or the first event of a stream.
	TargetLatency time.Duration `json:"targetLatency"`
	// MaxAttempts is the most engines on which one request may run.
	MaxAttempts int `json:"maxAttempts"`
	// Priority ranks the route. The lowest value goes first.
	Priority int `json:"priority"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resumable streams may go on at another engine behind the last event.
	Resumable bool     `json:"resumable"`
	Targets   []Target `json:"targets"`
}

// A Target is a service that takes a part of a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the service's part of the requests, in proportion to the other weights.
	Weight int `json:"weight"`
}

// A Service is a group of backend servers.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the most connections that one backend server accepts from all instances. Zero means no bound.
	MaxConnections int `json:"maxConnections"`
	// Slots is the number of requests that an engine of the service processes at once. It is zero for plain services.
	Slots int `json:"slots"`
	// Models are the names of the models that the engines of the service run.
	Models []string `json:"models"`
}

// A KeptStore keeps KV cache of prompts, from which engines fetch what they lack and to which they save what they have computed.
type KeptStore struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Capacity is the number of tokens that it holds. Zero means that it is not known.
	Capacity int `json:"capacity"`
	// TokensPerMilli is the number of tokens that its link moves in a millisecond. Zero means that it is not known.
	TokensPerMilli float64 `json:"tokensPerMilli"`
}

// An Account is a client account with its keys and its allowance.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before the route's. It is nil where the account has none.
	Priority *int `json:"priority,omitempty"`
	// Isolated accounts share no cache with others.
	Isolated bool `json:"isolated"`
	// CountsTokens tells that the allowance is counted in tokens and not in requests.
	CountsTokens bool `json:"countsTokens"`
	// PlainTokens is what a request without a token count counts.
	PlainTokens int `json:"plainTokens"`
	// Rate is the allowance a second. Zero means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}
