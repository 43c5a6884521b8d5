package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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
