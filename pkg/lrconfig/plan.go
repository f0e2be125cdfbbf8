// Package lrconfig holds the configuration that all instances share: plans, client accounts, keys, models and routes.
//
// Every value is immutable. A change makes a new value by a With method.
package lrconfig

// A Plan says what the client accounts on it may use, over the whole fleet.
type Plan struct {
	Name string `json:"name"`
	// Models are the names of the models that may be used.
	Models []string `json:"models"`
	// Adapters are the names of the adapters that may be used.
	Adapters []string `json:"adapters"`
	// Rate is the sustained rate in tokens a second.
	Rate float64 `json:"rate"`
	// Burst is the largest number of tokens that may be used at once.
	Burst float64 `json:"burst"`
	// Priority orders waiting requests. The higher value goes first.
	Priority int `json:"priority"`
}

// An Account is a client account and the plan it is on.
type Account struct {
	Name string `json:"name"`
	Plan string `json:"plan"`
}
