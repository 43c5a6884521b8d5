package reply_test

import (
	"context"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/reply"
)

// Guards against bytes after the head of an answer without a body that are read as the next answer, however the head is
// cut into reads, and against the loss of other bytes.
func TestConnEndsAfterAnswerWithoutBody(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\n\r\nstray"
	for _, x := range []struct{ head, rest, want string }{
		{"HTTP/1.1 204 x\r\nContent-Length: 24\r\n\r\n", stray, ""},
		{"HTTP/1.1 304 x\n\n", stray, ""},
		{"HTTP/1.0 204\r\n\r\n", "", ""},
		{"HTTP/1.1 200 x\r\nX: 204\r\n\r\n", stray, stray},
		{"HTTP/1.1 404 x\r\n\r\n", "HTTP/1.1 204 x\r\n\r\nbody", "HTTP/1.1 204 x\r\n\r\nbody"},
	} {
		for cut := 13; cut <= len(x.head); cut++ { // the status is in the first bytes
			near, far := net.Pipe()
			c, err := reply.Dial(func(context.Context, string, string) (net.Conn, error) { return near, nil })(t.Context(), "", "")
			assert.NilError(t, err)
			go func() {
				_, _ = far.Read(make([]byte, 10))
				for _, part := range []string{x.head[:cut], x.head[cut:] + x.rest} {
					if _, err := io.WriteString(far, part); err != nil {
						return
					}
				}
				_ = far.Close()
			}()
			_, err = io.WriteString(c, "request")
			assert.NilError(t, err)
			got, err := io.ReadAll(c)
			assert.NilError(t, err)
			assert.Equal(t, string(got), x.head+x.want, "cut at %d", cut)
			_ = c.Close()
		}
	}
}
