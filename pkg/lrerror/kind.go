package lrerror

import "net/http"

// A Kind is a type of failure, with its wire name and HTTP status.
type Kind struct {
	name   string
	status int
}

// String returns the wire name of the kind, in camel case.
func (k Kind) String() string { return k.name }

// Status returns the HTTP status code of responses with the kind.
func (k Kind) Status() int { return k.status }

// The kinds of failure that callers and operators receive.
var (
	KindBadRequest          = Kind{"badRequest", http.StatusBadRequest}
	KindUnauthenticated     = Kind{"unauthenticated", http.StatusUnauthorized}
	KindForbidden           = Kind{"forbidden", http.StatusForbidden}
	KindNotFound            = Kind{"notFound", http.StatusNotFound}
	KindModelNotFound       = Kind{"modelNotFound", http.StatusNotFound}
	KindConflict            = Kind{"conflict", http.StatusConflict}
	KindBodyTooLarge        = Kind{"bodyTooLarge", http.StatusRequestEntityTooLarge}
	KindHeaderTooLarge      = Kind{"headerTooLarge", http.StatusRequestHeaderFieldsTooLarge}
	KindIdempotencyMismatch = Kind{"idempotencyMismatch", http.StatusUnprocessableEntity}
	KindRateLimited         = Kind{"rateLimited", http.StatusTooManyRequests}
	KindOverloaded          = Kind{"overloaded", http.StatusServiceUnavailable}
	KindUnavailable         = Kind{"unavailable", http.StatusServiceUnavailable}
	KindBackendFailed       = Kind{"backendFailed", http.StatusBadGateway}
	// KindCrashing is a request that would crash a server. It has the status of a request that has not run.
	KindCrashing    = Kind{"crashing", http.StatusServiceUnavailable}
	KindQuarantined = Kind{"quarantined", http.StatusUnprocessableEntity}
	KindTimeout     = Kind{"timeout", http.StatusGatewayTimeout}
	KindInternal    = Kind{"internal", http.StatusInternalServerError}
)
