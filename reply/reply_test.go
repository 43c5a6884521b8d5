package reply_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/reply"
)

// Guards against a status on the border that counts on the wrong side.
func TestStatus(t *testing.T) {
	for status, interim := range map[int]bool{100: true, 102: true, 199: true, 200: false, 204: false, 301: false, 599: false} {
		rs := &http.Response{StatusCode: status}
		assert.NilError(t, reply.Check(rs))
		assert.Equal(t, reply.IsInterim(rs), interim, "status %d", status)
	}
	for _, status := range []int{-1, 0, 1, 99, 101, 600, 999, 1000} {
		assert.Assert(t, errors.Is(reply.Check(&http.Response{StatusCode: status}), reply.ErrInvalid), "status %d", status)
	}
}

// Guards against a connection that is closed after each answer without a body, or kept although a body may follow.
func TestHidesBody(t *testing.T) {
	for _, x := range []struct {
		status int
		length string
		chunks bool
		want   bool
	}{{204, "", false, false}, {204, "0", false, false}, {204, "4", false, true}, {204, "", true, true}, {304, "10", false, true}, {304, "", false, false}, {200, "4", false, false}} {
		rs := &http.Response{StatusCode: x.status, Header: http.Header{}}
		if x.length != "" {
			rs.Header.Set("Content-Length", x.length)
		}
		if x.chunks {
			rs.TransferEncoding = []string{"chunked"}
		}
		assert.Equal(t, reply.HidesBody(rs), x.want, "%v", x)
	}
}
