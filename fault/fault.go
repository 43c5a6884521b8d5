// Package fault defines the error type of the request path. Every error has a
// verdict, which states whether the request may have run. Every decision to retry
// is based on it.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have run on a backend server.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an error without a verdict never
	// counts as proof that the request was not run.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has run any part of the request.
	NotRun
	// Ran means that a backend server has run the request to its end.
	Ran
)

// String returns the name of the verdict as it is sent in problem documents and in
// the peer protocol.
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

// Code is the kind of an error, as one word. It is part of the HTTP API.
type Code string

// Codes of errors. Callers see the values.
const (
	Invalid        Code = "invalid"      // the request is malformed
	Unauthorized   Code = "unauthorized" // no valid credential
	Forbidden      Code = "forbidden"    // the credential does not allow this
	NotFound       Code = "unknown"      // no such model, service or document
	TooLarge       Code = "toolarge"     // a body or header is over its limit
	Limited        Code = "limited"      // the client account is over its limit
	Overload       Code = "overload"     // the deadline can't be met
	Leaving        Code = "leaving"      // this process is draining
	Quarantined    Code = "quarantined"  // requests like this one crashed backend servers
	Crashed        Code = "crashed"      // backend servers crashed while they ran the request
	Damaged        Code = "damaged"      // the answer of a backend server is none
	Unavailable    Code = "unavailable"  // no backend server or platform part answers
	Timeout        Code = "timeout"      // the deadline passed
	Conflict       Code = "conflict"     // another write or another use of the key came first
	KeyReused      Code = "reused"       // the idempotency key belongs to another request
	RequestTooSlow Code = "slow"         // the caller sends its request too slowly
	HeaderTooLarge Code = "header"       // the request's header is over its limit
	Cancelled      Code = "cancelled"    // the caller closed the connection
	Internal       Code = "internal"     // an invariant is violated, or the error has no code
)

// Config holds the fields of an Error.
type Config struct {
	Verdict Verdict
	Code    Code
	Reason  string    // one sentence for the caller
	RetryAt time.Time // earliest useful time of a retry; zero when a retry does not help
	Cause   error     // wrapped error, may be nil
}

// Error is an error with a verdict. Use errors.As to test for it. When errors with
// verdicts wrap each other, the outermost verdict counts: the layer that set it
// knew what the inner failure means for the whole request.
type Error struct {
	verdict Verdict
	code    Code
	reason  string
	retryAt time.Time
	cause   error
}

// New returns an Error with the fields of cfg.
func New(cfg Config) *Error {
	return &Error{verdict: cfg.Verdict, code: cfg.Code, reason: cfg.Reason, retryAt: cfg.RetryAt, cause: cfg.Cause}
}

// Error returns the reason, the code and the verdict, followed by the cause if there
// is one.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s (%s, %s)", e.reason, e.code, e.verdict)
	}
	return fmt.Sprintf("%s (%s, %s): %v", e.reason, e.code, e.verdict, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Verdict returns the verdict of the error.
func (e *Error) Verdict() Verdict { return e.verdict }

// Code returns the code that callers see.
func (e *Error) Code() Code { return e.code }

// Reason returns the sentence that callers see.
func (e *Error) Reason() string { return e.reason }

// RetryAt returns the time from which a retry can succeed, or the zero time.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// VerdictOf returns the verdict of err, or MayHaveRun if it has none.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return MayHaveRun
}

// CodeOf returns the code of err, or Internal if it has none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return Internal
}

// RetryAt returns the retry time of err and whether it has one.
func RetryAt(err error) (time.Time, bool) {
	var e *Error
	if errors.As(err, &e) && !e.retryAt.IsZero() {
		return e.retryAt, true
	}
	return time.Time{}, false
}
