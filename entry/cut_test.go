package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
)

// cutServer is a server of service "desk" that ends each connection after a part of
// its answer to a call.
type cutServer struct {
	mu     sync.Mutex
	answer string
	reset  bool // resets connections instead of closing them
}

func (s *cutServer) set(answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *cutServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			rq, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, rq.Body)
			s.mu.Lock()
			answer := s.answer
			s.mu.Unlock()
			if rq.URL.Path == "/load" {
				body := `{"boot":"b","slots":16,"ready":true}`
				answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
			}
			_, _ = io.WriteString(c, answer)
			if s.reset && rq.URL.Path != "/load" {
				_ = c.(interface{ SetLinger(sec int) error }).SetLinger(0)
			}
		}()
	}
}

// cutAnswers are answers whose end shows, and one whose end is that of its connection.
var cutAnswers = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nbooked table",
	"chunks":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n6\r\n table\r\n0\r\n\r\n",
	"unframed": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbooked table",
}

// TestCutAnswerIsNoSuccess guards against an answer that a server cut off, at any byte
// of its head and body, and that the caller gets as a whole one, and against a cut
// answer with a length that ends the caller's connection without an answer.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	for name, whole := range cutAnswers {
		for _, reset := range []bool{false, true} {
			for _, key := range []string{"", "order"} {
				t.Run(fmt.Sprintf("%s, reset %t, key %q", name, reset, key), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkCutAnswers(t, whole, reset, key) })
				})
			}
		}
	}
}

func checkCutAnswers(t *testing.T, whole string, reset bool, key string) {
	s := newSystem(t, 1, 0)
	s.services = []*fakes.Service{fakes.NewService()} // tells updateFleet of the server
	server, l := &cutServer{reset: reset}, s.listen("desk-0")
	defer l.Close()
	go server.serve(l)
	n := s.start(t)
	time.Sleep(time.Second)
	head := strings.Index(whole, "\r\n\r\n") + 4
	unframed := !strings.Contains(whole, "Length") && !strings.Contains(whole, "chunked")
	for cut := range len(whole) + 1 {
		server.set(whole[:cut])
		for _, what := range []string{"call", "repeat"} {
			var header []string
			if key != "" {
				header = []string{"Idempotency-Key", fmt.Sprintf("%s-%d", key, cut)}
			} else if what == "repeat" {
				continue
			}
			rs, text, err := s.call(context.Background(), n.name, "POST", "/services/desk/orders", fmt.Sprint("order ", cut), header...)
			at := fmt.Sprintf("%s, cut at %d of %d (head %d)", what, cut, len(whole), head)
			complete := cut == len(whole) && (!reset || !unframed)
			switch {
			case complete:
				assert.NilError(t, err, at)
				assert.Equal(t, rs.StatusCode, 200, at)
				assert.Equal(t, text, "booked table", at)
			case unframed && !reset && cut >= head:
				// The end of the connection is the only end that the answer has, here as there.
				assert.NilError(t, err, at)
				assert.Assert(t, rs.ContentLength < 0 && len(rs.TransferEncoding) == 0, "%s: framed as whole: %v %v", at, rs.Header, rs.TransferEncoding)
			case err != nil:
				assert.Assert(t, rs != nil, "%s: connection ended without an answer: %v", at, err)
			default:
				assert.Assert(t, rs.StatusCode >= 400, "%s: status %d", at, rs.StatusCode)
				assert.Equal(t, decodeProblem(t, rs, text).Verdict, "may-have-run", at)
			}
		}
	}
}
