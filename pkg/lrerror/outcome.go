// Package lrerror defines the typed errors that lavenderrouter returns to callers and operators.
package lrerror

// An Outcome states whether a refused or failed request ran on a backend server.
type Outcome string

const (
	// NotRun means that no backend server received any byte of the request.
	NotRun Outcome = "notRun"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran on a backend server.
	Ran Outcome = "ran"
)
