package lrconfig

// A Model is a model that the engines serve, with its desired weights version.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// A Route forwards requests under a path to a plain service.
type Route struct {
	Name string `json:"name"`
	// Path is the prefix of the request path.
	Path string `json:"path"`
	// Service is the name of the plain service.
	Service string `json:"service"`
	// Open states that callers need no key.
	Open bool `json:"open"`
	// Paid states that the requests are paid actions: they are not idempotent and run at most once.
	Paid bool `json:"paid"`
	// Query is the path at which the service reports the outcome of an idempotency key. It may be empty.
	Query string `json:"query,omitempty"`
	// Priority is added to the priority of the client account's plan.
	Priority int `json:"priority"`
}

// A Catalog lists the models and routes of a deployment.
type Catalog struct {
	Models []Model `json:"models"`
	Routes []Route `json:"routes"`
}

// Model returns the model of the name and reports whether there is one.
func (c Catalog) Model(name string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
