package lrerror

import (
	"errors"
	"fmt"
	"time"
)

// An Error is a failure with its kind, a message that states the remedy, and the outcome of the request.
type Error struct {
	kind       Kind
	message    string
	outcome    Outcome
	retryAfter time.Duration
	cause      error
}

// New returns an Error of the given kind and outcome. The message must state what the reader can do about the failure.
func New(kind Kind, outcome Outcome, format string, args ...any) *Error {
	return &Error{kind: kind, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// Error returns the message, and the message of the cause where there is one.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.message
	}
	return e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Message returns the text that callers receive. It leaves out the cause.
func (e *Error) Message() string { return e.message }

// Outcome returns whether the request ran on a backend server.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns the time after which a retry may succeed, or zero when none is known.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// WithCause returns a copy of the error that wraps the cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of the error that carries the time after which a retry may succeed.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.retryAfter = wait
	return &c
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	c := *e
	c.outcome = outcome
	return &c
}

// From returns the Error that err wraps, or an Error of kind KindInternal and outcome Unknown when it wraps none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(KindInternal, Unknown, "internal error; retry, and report the request id if it persists").WithCause(err)
}

// Is reports whether err wraps an Error of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == kind
}
