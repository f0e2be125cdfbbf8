// Package lrconfig holds the configuration that all instances share: plans, client accounts, keys, models and routes.
//
// The configuration is stored and sent in shards. A Head states a version and the digest of each shard, and a Snapshot is
// a version in memory. All values are immutable: a With method returns a changed copy.
package lrconfig

// A Plan states what each client account on it may use, over all instances together.
type Plan struct {
	Name string `json:"name"`
	// Models names the models that may be used.
	Models []string `json:"models"`
	// Adapters names the adapters that may be used.
	Adapters []string `json:"adapters"`
	// Rate is the sustained rate in tokens a second.
	Rate float64 `json:"rate"`
	// Burst is the largest number of tokens that may be used at once.
	Burst float64 `json:"burst"`
	// Priority orders waiting requests, the highest value first.
	Priority int `json:"priority"`
}

// An Account is a client account and the plan it is on.
type Account struct {
	Name string `json:"name"`
	Plan string `json:"plan"`
}
