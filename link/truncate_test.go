package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/link"
)

// wholeAnswers holds one sound answer of each framing.
var wholeAnswers = map[string]string{
	"length":                 "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 11\r\n\r\nbody\r\n\r\nend",
	"long length":            "HTTP/1.1 200 OK\r\nContent-Length: 111\r\nId: 1\r\n\r\n" + strings.Repeat("x", 111),
	"chunks":                 "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\na;x=y\r\n0123456789\r\n0\r\n\r\n",
	"chunks and trailer":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
	"unframed":               "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nbody\r\n\r\nend",
	"older protocol":         "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nbody",
	"no body":                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	"interim, length":        interimAnswers + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"interim, chunks":        interimAnswers + "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"interim, unframed":      interimAnswers + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody",
	"line feeds only":        "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody",
	"no content":             "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	"answer to another one":  "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"other in chunks, first": "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody",
}

const interimAnswers = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

// reset closes a connection with RST.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// readWhole sends a request and reads the answer to its end. unframed means that it ended with its connection.
func readWhole(ctx context.Context, c *link.Client, address string, rq *link.Request) (body string, unframed bool, err error) {
	ans, err := c.Do(ctx, address, rq)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = ans.Body.Close() }()
	b, err := io.ReadAll(ans.Body)
	return string(b), ans.Unframed, err
}

// dialPatiently waits for a lost SYN on a busy machine, of which the tests open many.
func dialPatiently(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", address)
}

// truncation is how a server ends an answer too early.
type truncation struct {
	reused bool          // after a sound answer on the same connection
	reset  bool          // by RST instead of FIN
	delay  time.Duration // between the last byte and the end of the connection
}

// checkTruncated checks that an answer that is cut after each of its bytes is an error. One without a
// length and chunks ends with FIN, so that its body can't be told from a whole one after it.
func checkTruncated(t *testing.T, answer string, x truncation) {
	t.Helper()
	cut := make(chan int, 1)
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if x.reused {
			rq, _ := receive(r)
			if rq == nil {
				return
			}
			respond(c, rq.Header.Get("Id"), "first")
		}
		if rq, _ := receive(r); rq == nil {
			return
		}
		_, _ = io.WriteString(c, answer[:<-cut])
		time.Sleep(x.delay)
		if x.reset {
			reset(c)
		}
	})
	headEnd := strings.LastIndex(answer, "Id: 1")
	headEnd += strings.Index(strings.ReplaceAll(answer[headEnd:], "\r\n\r\n", "\n\n  "), "\n\n") + 2
	if strings.Contains(answer, "\r") {
		headEnd += 2
	}
	c := link.New(link.Config{Dial: dialPatiently})
	for n := range len(answer) {
		if x.reused {
			got, err := do(t, c, address, request("0", true))
			assert.NilError(t, err)
			assert.Equal(t, got, "first")
		}
		opened := c.Opened()
		cut <- n
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		body, unframed, err := readWhole(ctx, c, address, request("1", x.reused))
		cancel()
		if unframed && !x.reset && n >= headEnd {
			assert.NilError(t, err)
			assert.Equal(t, body, answer[headEnd:n])
		} else {
			assert.Assert(t, err != nil, "cut after %q: %q", answer[:n], body)
			assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
		}
		if x.reused {
			assert.Equal(t, c.Opened(), opened, "the connection was not reused")
		}
	}
}

// Guards against an answer that looks whole although its server stopped within its head or its body.
func TestAnswerCutAtEachByte(t *testing.T) {
	for name, answer := range wholeAnswers {
		for _, x := range []truncation{{}, {reused: true}, {reset: true}, {reset: true, reused: true}, {reset: true, delay: time.Millisecond}} {
			t.Run(fmt.Sprintf("%s, reused=%v reset=%v delay=%v", name, x.reused, x.reset, x.delay), func(t *testing.T) {
				t.Parallel()
				checkTruncated(t, answer, x)
			})
		}
	}
}

// Guards against an answer without a length that looks whole although its server reset the connection: the
// kernel reports a reset once, and the goroutine that still writes a long request may be the one that gets it.
func TestUnframedAnswerIsResetDuringALongRequest(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf"
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(1)
		_, _ = io.WriteString(c, half)
		time.Sleep(5 * time.Millisecond)
		reset(c)
	})
	c := link.New(link.Config{Dial: dialPatiently})
	rq := request("1", false)
	rq.Body = make([]byte, 16<<20)
	const requests = 200
	for range requests {
		body, _, err := readWhole(t.Context(), c, address, rq)
		assert.Assert(t, err != nil, "%q", body)
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
	}
}
