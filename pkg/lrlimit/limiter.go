package lrlimit

import (
	"context"
	"time"
)

// A Request asks for tokens of one client account.
type Request struct {
	Account string
	// Rate, in tokens per second, and Burst, in tokens, are the limits of the account's plan over all instances.
	Rate  float64
	Burst float64
	// Tokens is the most that the request can use: its prompt and its maximum output.
	Tokens float64
}

// A Limiter reserves tokens for requests.
type Limiter interface {
	// Reserve takes the tokens of the request from the account, or returns an error of kind lrerror.KindRateLimited with the
	// time after which a retry may succeed.
	Reserve(ctx context.Context, now time.Time, request Request) (Reservation, error)
}

// A Reservation is the tokens taken for one request.
type Reservation interface {
	// Settle refunds the tokens that the request did not use. Only the first call has an effect.
	Settle(now time.Time, used float64)
}
