// Package fault defines the error type of the request path. Every error
// carries a verdict that says whether the request may have run, and every
// retry decision is made from that verdict.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an error without a verdict is
	// never taken as proof that a request was not run.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server ran any part of the request.
	NotRun
	// Ran means that a backend server ran the request to its end.
	Ran
)

// String returns the name used in problem documents and in the peer protocol.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Code names the kind of an error in one word. It is part of the HTTP API.
type Code string

// Codes of errors that callers see.
const (
	Invalid        Code = "invalid"      // the request is malformed
	Unauthorized   Code = "unauthorized" // no valid credential
	Forbidden      Code = "forbidden"    // the credential does not allow this
	NotFound       Code = "unknown"      // no such model, service or document
	TooLarge       Code = "toolarge"     // a body or header is over its limit
	Limited        Code = "limited"      // the client account is over its limit
	Overload       Code = "overload"     // the deadline can't be met
	Leaving        Code = "leaving"      // this process is draining
	Unavailable    Code = "unavailable"  // no backend server or platform part answers
	Timeout        Code = "timeout"      // the deadline passed
	Conflict       Code = "conflict"     // another write or another use of the key came first
	KeyReused      Code = "reused"       // the idempotency key belongs to another request
	RequestTooSlow Code = "slow"         // the caller sends its request too slowly
	HeaderTooLarge Code = "header"       // the request's header is over its limit
	Cancelled      Code = "cancelled"    // the caller went away
	Internal       Code = "internal"     // an invariant does not hold
)

// Config holds the parts of an Error.
type Config struct {
	Verdict Verdict
	Code    Code
	Reason  string    // one sentence for the caller
	RetryAt time.Time // zero when a retry does not help
	Cause   error     // wrapped error, may be nil
}

// Error is an error with a verdict. Callers test for it with errors.As. When
// errors with verdicts wrap each other, the outermost one holds: it was made by
// the layer that knew what the inner failure means for the whole request.
type Error struct {
	verdict Verdict
	code    Code
	reason  string
	retryAt time.Time
	cause   error
}

// New returns an Error with the given parts.
func New(cfg Config) *Error {
	return &Error{verdict: cfg.Verdict, code: cfg.Code, reason: cfg.Reason, retryAt: cfg.RetryAt, cause: cfg.Cause}
}

// Error returns the reason followed by the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s (%s, %s)", e.reason, e.code, e.verdict)
	}
	return fmt.Sprintf("%s (%s, %s): %v", e.reason, e.code, e.verdict, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Code returns the kind of the error.
func (e *Error) Code() Code { return e.code }

// Reason returns the sentence for the caller.
func (e *Error) Reason() string { return e.reason }

// RetryAt returns the time at which a retry can help, or the zero time.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// VerdictOf returns the verdict that err carries. An error without one may have run.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return MayHaveRun
}

// CodeOf returns the code that err carries, or Internal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return Internal
}

// RetryAt returns the retry time that err carries and whether it has one.
func RetryAt(err error) (time.Time, bool) {
	var e *Error
	if errors.As(err, &e) && !e.retryAt.IsZero() {
		return e.retryAt, true
	}
	return time.Time{}, false
}
