package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
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

// readBody reads a body of at most maxBody bytes within bodyTimeout.
func readBody(c *gin.Context) ([]byte, error) {
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
	b, err := readAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody), c.Request.ContentLength)
	if err == nil {
		// net/http continues to read, to detect that the caller goes away.
		_ = rc.SetReadDeadline(time.Time{})
		return b, nil
	}
	c.Header("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, bodyTooLarge(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(fault.RequestTooSlow, fmt.Sprintf("the body did not arrive within %s", bodyTimeout), err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, refusal(fault.Cancelled, "the connection ended before the body", err)
	default:
		return nil, refusal(fault.Invalid, "the body could not be read", err)
	}
}

// readAll reads a body of the given length, which is negative when unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	// net/http watches the connection only once the end of the body was read.
	if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return b, nil
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
