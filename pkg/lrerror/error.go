package lrerror

import (
	"errors"
	"fmt"
	"time"
)

// An Error is a failure with its kind, a message that names the remedy, and the outcome of the request.
type Error struct {
	kind       Kind
	message    string
	outcome    Outcome
	retryAfter time.Duration
	cause      error
}

// New returns an Error of the given kind and outcome. The message must name what the reader can do about it.
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

// Message returns the text that callers see. It leaves out the cause.
func (e *Error) Message() string { return e.message }

// Outcome tells whether the request ran.
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

// From returns the Error inside err, or an internal one of unknown outcome when there is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(KindInternal, Unknown, "internal error; retry, and report the request id if it persists").WithCause(err)
}

// Is reports whether err holds an Error of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == kind
}
