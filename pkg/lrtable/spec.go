// Package lrtable provides the routing table: the active routes, services, client accounts and limits, indexed for the
// request path.
package lrtable

import "time"

// Kind says whether requests of a route may be repeated.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming requests are answered by a stream of events. They run at most once, unless the route is resumable.
	Streaming Kind = "streaming"
)

// A Spec is one version of the routing table as the operator configured it.
type Spec struct {
	// Version increases with each change.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// KVStores are the KV stores: external stores of the key/value cache of prompts. They take no requests from
	// callers.
	KVStores []KVStore `json:"keptStores,omitempty"`
	Accounts []Account `json:"accounts"`
	// RequiresKeys is set if requests on routes that are not public must carry a key, even if there is no account whose key would be accepted.
	RequiresKeys bool   `json:"requiresKeys"`
	Limits       Limits `json:"limits"`
}

// A Route directs the requests of a host and path prefix to services.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	Kind       Kind   `json:"kind"`
	// Timeout bounds how long a request may wait. Zero means no bound.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time within which callers want the answer, or the first event of a stream.
	TargetLatency time.Duration `json:"targetLatency"`
	// TargetGap is the longest pause between two events of a stream that callers want. Zero means that they want none.
	TargetGap time.Duration `json:"targetGap,omitempty"`
	// MaxAttempts is the most engines to which one request may be sent.
	MaxAttempts int `json:"maxAttempts"`
	// Priority is the priority of the route's requests. The lowest value is served first.
	Priority int `json:"priority"`
	// Public routes need no API key.
	Public bool `json:"public"`
	// Resumable streams may be continued at another engine after the last event sent.
	Resumable bool     `json:"resumable"`
	Targets   []Target `json:"targets"`
}

// A Target is a service that gets a share of a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the service's share of the requests, relative to the weights of the other targets.
	Weight int `json:"weight"`
}

// A Service is a group of backend servers.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the most connections that one backend server accepts from all instances together. Zero means no
	// bound.
	MaxConnections int `json:"maxConnections"`
	// Slots is the number of requests that one engine of the service processes at the same time. It is zero for plain
	// services.
	Slots int `json:"slots"`
	// Memory is the number of tokens that one engine of the service holds for running requests. Zero means unknown.
	Memory int `json:"memory"`
	// Models are the names of the models that the engines of the service run.
	Models []string `json:"models"`
}

// A KVStore is a KV store: an external store of the key/value cache of prompts. Engines fetch from it what they lack
// and save to it what they have computed.
type KVStore struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Capacity is the number of prompt tokens whose cache it can hold. Zero means unknown.
	Capacity int `json:"capacity"`
	// TokensPerMilli is the number of tokens that its link transfers in a millisecond. Zero means unknown.
	TokensPerMilli float64 `json:"tokensPerMilli"`
}

// An Account is a client account with its API keys and its rate limit.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides the priority of the route. It is nil where the account has none.
	Priority *int `json:"priority,omitempty"`
	// Isolated accounts share no cache with others.
	Isolated bool `json:"isolated"`
	// CountsTokens means that Rate and Burst count tokens instead of requests.
	CountsTokens bool `json:"countsTokens"`
	// DefaultTokens is the number of tokens charged for a request without a token count.
	DefaultTokens int `json:"plainTokens"`
	// Rate is the refill rate of the account's token bucket per second. Zero means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}
