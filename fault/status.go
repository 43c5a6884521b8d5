package fault

import (
	"errors"
	"math"
	"time"
)

// statuses maps each code to its HTTP status. Package fault is independent of
// any transport, so the statuses are plain numbers (RFC 9110, section 15).
var statuses = map[Code]int{
	Invalid: 400, Unauthorized: 401, Forbidden: 403, NotFound: 404, RequestTooSlow: 408, Conflict: 409,
	TooLarge: 413, KeyReused: 422, Limited: 429, HeaderTooLarge: 431, Cancelled: 499,
	Internal: 500, Unavailable: 503, Overload: 503, Leaving: 503, Timeout: 504,
}

// HTTPStatus returns the HTTP status of a code, or 500 for a code it does not
// know.
func HTTPStatus(c Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return 500
}

// Codes returns every code that has a status, in no order.
func Codes() []Code {
	out := make([]Code, 0, len(statuses))
	for c := range statuses {
		out = append(out, c)
	}
	return out
}

// Problem is the body of an error answer (RFC 9457), of media type
// application/problem+json.
type Problem struct {
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail"`
	Verdict   string   `json:"verdict"`
	Addresses []string `json:"addresses,omitempty"` // other entry processes, when this one is leaving
}

// ProblemOf returns the error answer for err. The text of an error that is not
// an Error is not shown to callers, since it may name internal parts.
func ProblemOf(err error) Problem {
	code := CodeOf(err)
	p := Problem{Title: string(code), Status: HTTPStatus(code), Verdict: VerdictOf(err).String(), Detail: "internal error"}
	var e *Error
	if errors.As(err, &e) {
		p.Detail = e.Reason()
	}
	return p
}

// RetryAfter returns the value of the Retry-After header in whole seconds,
// rounded up so that a caller never comes too early, and whether err carries a
// retry time.
func RetryAfter(err error) (int, bool) {
	at, ok := RetryAt(err)
	if !ok {
		return 0, false
	}
	return max(0, int(math.Ceil(time.Until(at).Seconds()))), true
}

// ParseVerdict returns the verdict with the given name. A name that it does
// not know gives MayHaveRun.
func ParseVerdict(name string) Verdict {
	switch name {
	case NotRun.String():
		return NotRun
	case Ran.String():
		return Ran
	default:
		return MayHaveRun
	}
}
