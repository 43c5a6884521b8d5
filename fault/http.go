package fault

import (
	"errors"
	"math"
	"time"
)

// httpStatuses maps each code to its HTTP status (RFC 9110, section 15). The
// statuses are plain numbers, so that the package does not depend on net/http.
var httpStatuses = map[Code]int{
	Invalid: 400, Unauthorized: 401, Forbidden: 403, NotFound: 404, RequestTooSlow: 408, Conflict: 409,
	TooLarge: 413, KeyReused: 422, Limited: 429, HeaderTooLarge: 431, Cancelled: 499,
	Internal: 500, Crashed: 502, Damaged: 502, Unavailable: 503, Overload: 503, Leaving: 503, Quarantined: 503, Timeout: 504,
}

// HTTPStatus returns the HTTP status of a code, or 500 for an unknown code.
func HTTPStatus(c Code) int {
	if s, ok := httpStatuses[c]; ok {
		return s
	}
	return 500
}

// Codes returns every code that has an HTTP status, in random order.
func Codes() []Code {
	out := make([]Code, 0, len(httpStatuses))
	for c := range httpStatuses {
		out = append(out, c)
	}
	return out
}

// Problem is a problem document (RFC 9457), the body of an error response with
// media type application/problem+json.
type Problem struct {
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail"`
	Verdict   string   `json:"verdict"`
	Addresses []string `json:"addresses,omitempty"` // other entry processes, when this one is leaving
}

// ProblemOf returns the problem document for err. It does not contain the text of
// an error that is not an Error, since this may name internal components.
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
// rounded up so that no caller retries too early, and whether err has a retry
// time.
func RetryAfter(err error) (int, bool) {
	at, ok := RetryAt(err)
	if !ok {
		return 0, false
	}
	return max(0, int(math.Ceil(time.Until(at).Seconds()))), true
}

// ParseVerdict returns the verdict with the given name, or MayHaveRun for an
// unknown name.
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
