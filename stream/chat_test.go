package stream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/spec"
)

// callRecorder records the calls from the entry process to the engines.
type callRecorder struct {
	next http.RoundTripper
	mu   sync.Mutex
	out  bytes.Buffer
}

func (r *callRecorder) RoundTrip(rq *http.Request) (*http.Response, error) {
	if rq.Body != nil && (rq.URL.Path == "/generate" || rq.URL.Path == "/cancel") {
		b, err := io.ReadAll(rq.Body)
		if err != nil {
			return nil, err
		}
		rq.Body = io.NopCloser(bytes.NewReader(b))
		var j engine.Job
		_ = json.Unmarshal(b, &j)
		r.mu.Lock()
		_, _ = fmt.Fprintf(&r.out, "POST %s to range %s attempt %d", rq.URL.Path, rq.URL.Host[1:2], j.Attempt)
		for _, s := range j.Route {
			_, _ = fmt.Fprintf(&r.out, " [%d,%d)", s.First, s.Last)
		}
		_, _ = fmt.Fprintf(&r.out, " accepted %d\n", len(j.Accepted))
		r.mu.Unlock()
	}
	return r.next.RoundTrip(rq)
}

// serveEntry starts an entry process that uses the engines of the cluster, and
// returns a client for it. Its calls to engines are recorded when recorder is not
// nil.
func (tc *testCluster) serveEntry(t *testing.T, recorder *callRecorder) *http.Client {
	t.Helper()
	docs, err := examples.Documents()
	assert.NilError(t, err)
	tree, err := spec.NewTree(docs)
	assert.NilError(t, err)
	st := change.NewStore(change.StoreConfig{Table: fakes.NewTable().Client()})
	assert.NilError(t, st.Apply(1, tree))
	hc := tc.http()
	if recorder != nil {
		recorder.next = hc.Transport
		hc.Transport = recorder
	}
	h := entry.New(entry.Config{Store: st, Fleet: tc.table, Engines: engine.New(engine.Config{Client: hc}), Domain: domains[0], Log: zerolog.Nop()})
	tc.listen("entry:1", h.Server().Handler)
	return tc.http()
}

// post sends a chat completion request.
func post(ctx context.Context, t *testing.T, c *http.Client, body string) *http.Response {
	t.Helper()
	rq, err := http.NewRequestWithContext(ctx, "POST", "http://entry:1/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer demo-key")
	rs, err := c.Do(rq)
	assert.NilError(t, err)
	return rs
}

var (
	idPattern   = regexp.MustCompile(`"id":"[^"]*"`)
	timePattern = regexp.MustCompile(`"created":\d+`)
)

// normalize replaces the parts of an answer that differ between runs.
func normalize(s string) string {
	return timePattern.ReplaceAllString(idPattern.ReplaceAllString(s, `"id":"ID"`), `"created":0`)
}

// TestStreamedChatSession compares a complete streamed chat completion, in which a
// stage fails after the sixth token, with a golden file. It guards against events
// that client libraries do not accept and against a recovery that is visible to the
// caller.
func TestStreamedChatSession(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		recorder := &callRecorder{}
		c := tc.serveEntry(t, recorder)
		rs := post(t.Context(), t, c, `{"model":"assistant","stream":true,"stream_options":{"include_usage":true},
			"messages":[{"role":"user","content":[{"type":"text","text":"the tube flickers, words=12"}]}]}`)
		defer rs.Body.Close()
		var got bytes.Buffer
		_, _ = fmt.Fprintf(&got, "%s\nContent-Type: %s\n\n", rs.Status, rs.Header.Get("Content-Type"))
		var text bytes.Buffer
		buf := make([]byte, 64<<10)
		for killed := false; ; {
			n, err := rs.Body.Read(buf)
			text.Write(buf[:n])
			// The first event contains the role and no token.
			if !killed && strings.Count(text.String(), `"content":`) == 7 {
				killed = true
				tc.setFaults(tc.busiest(1), fakes.EngineFaults{Dead: true})
			}
			if err != nil {
				assert.Equal(t, err, io.EOF)
				break
			}
		}
		got.Write(text.Bytes())
		got.WriteString("\ncalls to engines:\n")
		time.Sleep(time.Second)
		recorder.mu.Lock()
		calls := strings.SplitAfter(recorder.out.String(), "\n")
		recorder.mu.Unlock()
		// A release is sent in parallel with the next attempt, and several times to
		// the failed stage. The lines are sorted and repeated ones removed.
		sort.Strings(calls)
		got.WriteString(strings.Join(slices.Compact(calls), ""))
		golden.Assert(t, normalize(got.String()), "session.golden")
	})
}

// TestChat guards against valid requests of clients that are refused, invalid
// requests that reach an engine, and answers without the members that client
// libraries read.
func TestChat(t *testing.T) {
	for _, c := range []struct {
		name, body string
		status     int
		want       string
	}{
		{"whole", `{"model":"assistant","messages":[{"role":"user","content":"words=3"}]}`, 200, `"finish_reason":"stop"`},
		{"usage", `{"model":"assistant","messages":[{"role":"user","content":"words=3"}]}`, 200, `"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5,`},
		{"limit", `{"model":"assistant","max_tokens":2,"messages":[{"role":"user","content":"words=3"}]}`, 200, `"finish_reason":"length"`},
		{"newer limit", `{"model":"assistant","max_completion_tokens":1,"messages":[{"role":"user","content":"words=3"}]}`, 200, `"completion_tokens":1`},
		{"null content", `{"model":"assistant","messages":[{"role":"assistant","content":null},{"role":"user","content":"words=2"}]}`, 200, `"completion_tokens":2`},
		{"no body", ``, 400, `"type":"invalid_request_error"`},
		{"image", `{"model":"assistant","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, `image_url`},
		{"no messages", `{"model":"assistant"}`, 400, `"verdict":"not-run"`},
		{"choices", `{"model":"assistant","n":2,"messages":[{"role":"user","content":"x"}]}`, 400, `n is 2`},
		{"negative", `{"model":"assistant","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, 400, `negative`},
		{"model", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, 404, `"code":"unknown"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
				rs := post(t.Context(), t, tc.serveEntry(t, nil), c.body)
				defer rs.Body.Close()
				b, err := io.ReadAll(rs.Body)
				assert.NilError(t, err)
				assert.Equal(t, rs.StatusCode, c.status, "%s", b)
				assert.Assert(t, strings.Contains(string(b), c.want), "%s", b)
				if c.status >= 400 {
					assert.Equal(t, tc.positionsComputed(), 0)
				}
			})
		})
	}
}

// TestChatErrors guards against an answer without an error event, a verdict or a
// retry time when it is given up after or before its first token.
func TestChatErrors(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
		c := tc.serveEntry(t, nil)
		body := `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"words=50"}]}`
		rs := post(t.Context(), t, c, body)
		defer rs.Body.Close()
		_, err := io.ReadFull(rs.Body, make([]byte, 1000))
		assert.NilError(t, err)
		tc.setFaults("e2-0", fakes.EngineFaults{Dead: true})
		b, err := io.ReadAll(rs.Body)
		assert.NilError(t, err)
		for _, want := range []string{"\ndata: {\"error\":{\"message\":", `"verdict":"may-have-run"`, `"retry_after":1`} {
			assert.Assert(t, strings.Contains(string(b), want), "%q is missing in %s", want, b)
		}
		assert.Assert(t, !strings.Contains(string(b), "[DONE]"))

		tc.setFaults("e0-0", fakes.EngineFaults{Dead: true})
		time.Sleep(5 * time.Second)
		rs = post(t.Context(), t, c, body)
		defer rs.Body.Close()
		assert.Equal(t, rs.StatusCode, 503)
		assert.Equal(t, rs.Header.Get("Retry-After"), "1")
	})
}

// TestDisconnectFreesSlots guards against slots that stay taken when a caller closes
// its connection in the middle of an answer.
func TestDisconnectFreesSlots(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		c := tc.serveEntry(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		rs := post(ctx, t, c, `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"words=500"}]}`)
		_, err := io.ReadFull(rs.Body, make([]byte, 1000))
		assert.NilError(t, err)
		cancel()
		_ = rs.Body.Close()
		time.Sleep(time.Second)
		assertNoSlotsHeld(t, tc)
		assert.Assert(t, tc.positionsComputed() < 3*100, "engines computed %d positions", tc.positionsComputed())
	})
}
