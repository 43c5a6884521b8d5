package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
)

// answering runs a server that answers each call with an answer and then keeps the connection open.
func answering(t *testing.T, answer string) string {
	return listen(t, func(c net.Conn) {
		rq, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(c, answer)
		_, _ = c.Read(make([]byte, 1))
	})
}

// callDamaged checks that a call fails at once, as one that may have run.
func callDamaged(t *testing.T, answer string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	begun := time.Now()
	a, err := New(Config{}).Do(ctx, answering(t, answer), order)
	if err == nil {
		_, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
	}
	wantError(t, err, fault.MayHaveRun, fault.Damaged)
	assert.Assert(t, time.Since(begun) < time.Second, "the call ended only after %v", time.Since(begun))
}

// Guards against a status that is none and that the caller gets, and against the statement of such an answer that the
// call did not run.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-01", "-00", "+99", "600", "999", "1000", "20", "abc", "", "101"} {
		for _, line := range []string{"", "X-Not-Run: true\r\n", "Connection: upgrade\r\nUpgrade: x\r\n"} {
			t.Run(fmt.Sprintf("%q, %q", status, line), func(t *testing.T) {
				callDamaged(t, "HTTP/1.1 "+status+" x\r\n"+line+"Content-Length: 4\r\n\r\nbody")
			})
		}
	}
}

// Guards against heads whose framing can be read in two ways, or whose lines another process would read differently.
func TestInvalidHeads(t *testing.T) {
	const damaged = "" // no answer
	for name, x := range map[string]struct{ lines, body, want string }{
		"negative length":            {"Content-Length: -4\r\n", "body", damaged},
		"equal lengths":              {"Content-Length: 4\r\nContent-Length: 4\r\n", "body", "body"},
		"different lengths":          {"Content-Length: 4\r\nContent-Length: 3\r\n", "body", damaged},
		"list of lengths":            {"Content-Length: 4, 4\r\n", "body", damaged},
		"length and chunks":          {"Content-Length: 99\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "body"},
		"negative length and chunks": {"Content-Length: -1\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
		"chunks twice":               {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
		"blank in a name":            {"X Y: z\r\nContent-Length: 4\r\n", "body", damaged},
		"blank after the length":     {"Content-Length : 4\r\n", "body", damaged},
		"blank after the encoding":   {"Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
		"NUL in a value":             {"X: a\x00b\r\nContent-Length: 4\r\n", "body", damaged},
		"carriage return in a value": {"X: a\rY: b\r\nContent-Length: 4\r\n", "body", damaged},
		"control character":          {"X: a\x01b\r\nContent-Length: 4\r\n", "body", damaged},
	} {
		t.Run(name, func(t *testing.T) {
			answer := "HTTP/1.1 200 OK\r\n" + x.lines + "\r\n" + x.body
			if x.want == damaged {
				callDamaged(t, answer)
				return
			}
			a, err := New(Config{}).Do(t.Context(), answering(t, answer), order)
			assert.NilError(t, err)
			defer a.Body.Close()
			b, err := io.ReadAll(a.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(b), x.want)
			if x.lines[:15] != "Content-Length:" || x.body != x.want {
				assert.Equal(t, a.Header.Get("Content-Length"), "")
			}
		})
	}
}

// Guards against an answer without a body whose stated length is passed on: the caller would take the next answer on
// its connection for the body.
func TestBodyOfAnswerWithoutBody(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	for name, lines := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", len(stray)), "chunks": "Transfer-Encoding: chunked\r\n", "none": ""} {
		for _, status := range []int{204, 304} {
			t.Run(fmt.Sprintf("%d, %s", status, name), func(t *testing.T) {
				address := answering(t, fmt.Sprintf("HTTP/1.1 %d x\r\n%s\r\n%s", status, lines, stray))
				c := New(Config{})
				for range 3 {
					a, err := c.Do(t.Context(), address, order)
					assert.NilError(t, err)
					assert.Equal(t, a.Status, status)
					b, err := io.ReadAll(a.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(b), "")
					assert.Equal(t, a.Header.Get("Transfer-Encoding"), "")
					if status == http.StatusNoContent {
						assert.Equal(t, a.Header.Get("Content-Length"), "")
					}
					assert.NilError(t, a.Body.Close())
				}
			})
		}
	}
}

// Guards against a call that goes on as long as the server sends interim answers.
func TestEndlessInterimAnswers(t *testing.T) {
	address := listen(t, func(c net.Conn) {
		_, err := c.Read(make([]byte, 4<<10))
		for ; err == nil; time.Sleep(10 * time.Millisecond) {
			_, err = io.WriteString(c, "HTTP/1.1 103 x\r\n\r\n")
		}
	})
	call := order
	call.Deadline = time.Now().Add(200 * time.Millisecond)
	begun := time.Now()
	_, err := New(Config{}).Do(t.Context(), address, call)
	wantError(t, err, fault.MayHaveRun, fault.Timeout)
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}
