package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
)

// startServer runs an HTTP server and returns its address.
func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// generate sends a job to the engine at an address.
func generate(ctx context.Context, address string) (*engine.Answer, error) {
	c := engine.New(engine.Config{Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	return c.Generate(ctx, engine.Job{Request: "r", Route: []engine.Stage{{Address: address}}})
}

// refuse returns a handler that refuses each request.
func refuse(notRun, reason string, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.NotRunHeader, notRun)
		w.Header().Set(engine.ReasonHeader, reason)
		w.WriteHeader(status)
	}
}

// TestVerdict guards against errors with a wrong verdict on whether an engine ran a
// job, since retries depend on the verdict.
func TestVerdict(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	for _, c := range []struct {
		name    string
		address string
		verdict fault.Verdict
		code    fault.Code
	}{
		{"connection refused", closed, fault.NotRun, fault.Unavailable},
		{"leaving", startServer(t, refuse("true", engine.ReasonLeaving, 503)), fault.NotRun, fault.Leaving},
		{"full", startServer(t, refuse("true", engine.ReasonFull, 503)), fault.NotRun, fault.Overload},
		{"another version", startServer(t, refuse("true", engine.ReasonVersion, 503)), fault.NotRun, fault.Conflict},
		{"error without statement", startServer(t, refuse("", "", 500)), fault.MayHaveRun, fault.Unavailable},
		{"connection lost", startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), fault.MayHaveRun, fault.Unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := generate(t.Context(), c.address)
			assert.Equal(t, fault.VerdictOf(err), c.verdict, "%v", err)
			assert.Equal(t, fault.CodeOf(err), c.code, "%v", err)
		})
	}
	t.Run("timeout", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := generate(ctx, startServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body); <-r.Context().Done() }))
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
	})
}

// TestFrames guards against frames that are invalid, too long or report a failure
// but count as the regular end of an answer.
func TestFrames(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"end", `{"position":0,"stop":"end"}` + "\n", "EOF"},
		{"cut", `{"position":0,"stop":"end"}` + "\n" + `{"posi`, "EOF"},
		{"not JSON", "x\n", "can't be decoded"},
		{"long", `{"token":"` + strings.Repeat("x", 10000) + `"}` + "\n", "EOF"},
		{"over-long", `{"token":"` + strings.Repeat("x", 70000) + `"}` + "\n", "over 64 KiB"},
		{"fault", `{"fault":"no","failed":"b","from":"a"}` + "\n", "stage b, seen from a: no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, err := generate(t.Context(), startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.body) }))
			assert.NilError(t, err)
			defer a.Close()
			var f engine.Frame
			for err == nil {
				err = a.Next(&f)
			}
			assert.ErrorContains(t, err, c.want)
			var se *engine.StageError
			assert.Equal(t, errors.As(err, &se), c.name == "fault")
		})
	}
}

// TestBlocks guards against equal hashes of different prefixes.
func TestBlocks(t *testing.T) {
	p := strings.Repeat("a", engine.BlockBytes)
	one, two := engine.BlockHashes("m", p+p), engine.BlockHashes("m", p+strings.Repeat("b", 300))
	assert.Equal(t, len(one), 2)
	assert.Equal(t, one[0], two[0])
	assert.Assert(t, one[1] != two[1])
	assert.Assert(t, engine.BlockHashes("n", p)[0] != one[0])
	assert.Equal(t, len(engine.BlockHashes("m", "short")), 0)
}

// startRepeatingServer runs a server that writes each answer once more, in front of the answer to the
// next request on the connection. It returns the server's address.
func startRepeatingServer(t *testing.T, answer func(rq *http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(c, answer)
		}
	}()
	return l.Addr().String()
}

func repeatAnswers(c net.Conn, answer func(rq *http.Request) string) {
	defer func() { _ = c.Close() }()
	r, last := bufio.NewReader(c), ""
	for {
		rq, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text := answer(rq)
		if _, err := io.WriteString(c, last+text); err != nil {
			return
		}
		last = text
	}
}

// TestRepeatedAnswers guards against an answer that reaches the next call on its connection, because the
// engine writes it once more: the KV cache of another request, or a refusal of a job that runs.
func TestRepeatedAnswers(t *testing.T) {
	t.Run("export", func(t *testing.T) {
		address := startRepeatingServer(t, func(rq *http.Request) string {
			b, _ := io.ReadAll(rq.Body)
			text := `{"handle":"` + strings.Split(string(b), `"`)[3] + `"}`
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		})
		c := engine.New(engine.Config{})
		for _, request := range []string{"r1", "r2"} {
			x, err := c.Export(t.Context(), address, request)
			assert.NilError(t, err)
			assert.Equal(t, x.Handle, request)
			time.Sleep(20 * time.Millisecond) // a kept connection returns to the pool
		}
	})
	t.Run("refused job", func(t *testing.T) {
		var jobs atomic.Int32
		address := startRepeatingServer(t, func(rq *http.Request) string {
			_, _ = io.Copy(io.Discard, rq.Body)
			if jobs.Add(1) == 1 {
				return "HTTP/1.1 503 x\r\n" + engine.NotRunHeader + ": true\r\n" + engine.ReasonHeader + ": " + engine.ReasonFull + "\r\nContent-Length: 0\r\n\r\n"
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		})
		c := engine.New(engine.Config{})
		for _, verdict := range []fault.Verdict{fault.NotRun, fault.MayHaveRun} {
			_, err := c.Generate(t.Context(), engine.Job{Request: "r", Route: []engine.Stage{{Address: address}}})
			assert.Equal(t, fault.VerdictOf(err), verdict)
			assert.Equal(t, fault.CodeOf(err), fault.Overload)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestCutAnswerHasNoEnd guards against a model answer that was cut off at any byte of
// its head or frames and is taken as whole, since its last frame is.
func TestCutAnswerHasNoEnd(t *testing.T) {
	frames := `{"tag":1,"attempt":1,"position":0,"token":"x"}` + "\n" + `{"tag":1,"attempt":1,"position":1,"stop":"end"}` + "\n"
	half := len(frames) / 2
	for name, whole := range map[string]string{
		"length":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(frames), frames),
		"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, frames[:half], len(frames)-half, frames[half:]),
		"unframed": "HTTP/1.1 200 OK\r\n\r\n" + frames,
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				var cut atomic.Int64
				address := startCutServer(t, reset, func() string { return whole[:cut.Load()] })
				end := strings.Index(whole, "end\"}\n") + len("end\"}\n")
				for n := range len(whole) + 1 {
					cut.Store(int64(n))
					assert.Assert(t, !endsWithStop(t, address) || n >= end, "whole at %d of %d bytes", n, len(whole))
				}
				assert.Assert(t, reset || endsWithStop(t, address), "the whole answer is not taken as whole")
			})
		}
	}
}

// startCutServer starts a server that answers each request and then closes or resets
// the connection, and returns its address.
func startCutServer(t *testing.T, reset bool, answer func() string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if rq, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, rq.Body)
			}
			_, _ = io.WriteString(c, answer())
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// endsWithStop runs a job and reports whether its answer had a frame with a stop reason.
func endsWithStop(t *testing.T, address string) bool {
	a, err := generate(t.Context(), address)
	if err != nil {
		return false
	}
	defer a.Close()
	for {
		var f engine.Frame
		if err := a.Next(&f); err != nil {
			return false
		}
		if f.Stop != "" {
			return true
		}
	}
}
