package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/quota"
)

// bodyTimeout bounds the reading of a body. A body of maxBody needs 280 KB/s.
const bodyTimeout = 15 * time.Second

// boundUnreadBody bounds the reading of a body that no handler reads: net/http reads the rest of it before it sends the
// answer, without a deadline of its own. A connection without deadlines is answered all the same.
func boundUnreadBody(c *gin.Context) {
	if c.Request.ContentLength != 0 && !c.Writer.Written() {
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
}

const (
	bodyKey = "body" // key of the release of a body's memory in a gin context
	// quotaRetryDelay is the mean delay of a retry when the quota is exhausted.
	quotaRetryDelay = 500 * time.Millisecond
)

// releaseBody is the middleware that returns the memory of a request's body to the quota.
func (h *Handler) releaseBody(c *gin.Context) {
	defer func() {
		if release, ok := c.Get(bodyKey); ok {
			release.(func())()
		}
	}()
	c.Next()
}

// readBody reads a body of at most maxBody bytes within bodyTimeout. Its memory is charged to the quota until the
// request ends.
func (h *Handler) readBody(c *gin.Context) ([]byte, error) {
	if c.Request.ContentLength > maxBody {
		return nil, bodyTooLarge(nil)
	}
	if c.Request.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(c.Writer)
	// The error is ignored: on a connection without deadlines only the caller
	// bounds the time.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, release, err := h.cfg.Quota.Read(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody), maxBody)
	if err == nil {
		c.Set(bodyKey, release)
		// net/http continues to read, to detect that the caller goes away.
		_ = rc.SetReadDeadline(time.Time{})
		return b, nil
	}
	c.Header("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, quota.ErrExhausted):
		return nil, fault.New(fault.Config{
			Verdict: fault.NotRun, Code: fault.Overload, Reason: "the bodies of other requests take the memory for them", RetryAt: time.Now().Add(quotaRetryDelay/2 + rand.N(quotaRetryDelay)), Cause: err,
		})
	case errors.As(err, &large), errors.Is(err, quota.ErrTooLong):
		return nil, bodyTooLarge(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(fault.RequestTooSlow, fmt.Sprintf("the body did not arrive within %s", bodyTimeout), err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, refusal(fault.Cancelled, "the connection ended before the body", err)
	default:
		return nil, refusal(fault.Invalid, "the body could not be read", err)
	}
}

// HeadRefusal returns the content type and the body of the response to a request whose head was not read, since
// package heads has no memory for it.
func HeadRefusal() (contentType, body string) {
	b, _ := json.Marshal(fault.ProblemOf(refusal(fault.Overload, "the heads of other requests take the memory for them", nil)))
	return "application/problem+json", string(b)
}

// bodyTooLarge returns the error of a body over maxBody.
func bodyTooLarge(err error) error {
	return refusal(fault.TooLarge, fmt.Sprintf("the body is over %d MiB", maxBody>>20), err)
}

// refusal returns the error of a request that is refused before it is sent to a
// backend server.
func refusal(code fault.Code, reason string, cause error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: code, Reason: reason, Cause: cause})
}

// checkHeader is the middleware that refuses a header over maxHeader with a
// problem document. The limit of net/http itself, which answers in plain text, is
// twice as high.
func (h *Handler) checkHeader(c *gin.Context) {
	n := len(c.Request.RequestURI)
	for k, vs := range c.Request.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	if n > maxHeader {
		writeProblem(c, refusal(fault.HeaderTooLarge, fmt.Sprintf("the header is over %d KiB", maxHeader>>10), nil))
	}
}
