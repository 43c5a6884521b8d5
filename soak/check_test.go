package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkViolation asserts that there is exactly one violation and that it contains want.
func checkViolation(t *testing.T, violations []string, want string) {
	t.Helper()
	assert.Equal(t, len(violations), 1, "%v", violations)
	assert.Assert(t, strings.Contains(violations[0], want), violations[0])
}

// violationsOf sends one request of the callers to a server with the given handler and
// returns the violations that they recorded.
func violationsOf(t *testing.T, kind string, h http.HandlerFunc) []string {
	t.Helper()
	return violationsOn(t, newServers(t, nil), kind, h)
}

// violationsOn is violationsOf with the records of the given servers.
func violationsOn(t *testing.T, v *servers, kind string, h http.HandlerFunc) []string {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	c := &callers{servers: v, served: map[string]int{}, failed: map[string]int{}}
	key := shopKey
	c.key.Store(&key)
	address := strings.TrimPrefix(s.URL, "http://")
	if kind == "stream" {
		c.stream(http.DefaultClient, address, "r0000001")
	} else {
		c.order(http.DefaultClient, address, kind, "r0000001")
	}
	return c.violations
}

// sendEvents writes events with the given numbers.
func sendEvents(w io.Writer, id string, numbers ...int) {
	for _, n := range numbers {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
	}
}

// TestCallerChecksFail guards against a check of the callers that can't fail: each one
// is given an answer with the fault that it must detect.
func TestCallerChecksFail(t *testing.T) {
	checkViolation(t, violationsOf(t, "stream", func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, "r0000001", 1, 3) }), "event 3 after 1")
	checkViolation(t, violationsOf(t, "stream", func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, "r0000001", 1, 1) }), "event 1 after 1")
	checkViolation(t, violationsOf(t, "stream", func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, "r0000002", 1) }), "an event of r0000002")
	checkViolation(t, violationsOf(t, "stream", func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, "r0000001", 1, 2) }), "as complete after 2")
	checkViolation(t, violationsOf(t, "stream", func(w http.ResponseWriter, _ *http.Request) {
		sendEvents(w, "r0000001", 1)
		_, _ = io.WriteString(w, "error: gone\n\n")
		_ = http.NewResponseController(w).Flush()
		sendEvents(w, "r0000001", 2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}), "other bytes than events")
	checkViolation(t, violationsOf(t, "order", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked r0000002") }), "was answered")
	checkViolation(t, violationsOf(t, "order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }), "without Retry-After")
}

// TestServerChecksFail guards against a check of the backend servers that can't fail:
// each one is given a request with the fault that it must detect.
func TestServerChecksFail(t *testing.T) {
	call := func(path string, change func(r *http.Request)) []string {
		v := newServers(t, newStore(t))
		a := &backend{id: "a", address: "a:1", firstLayer: 0, endLayer: 4}
		v.byAddress["a:1"], v.byAddress["b:1"] = a, &backend{id: "b", address: "b:1", firstLayer: 4, endLayer: 8}
		r := httptest.NewRequest("POST", "/llm/", nil)
		r.Header.Set(idHeader, "r1")
		r.Header.Set("X-Cranberrybay-Tenant", "shop")
		r.Header.Set("X-Cranberrybay-Deadline-Ms", "100")
		change(r)
		switch r.URL.Path {
		case "/drained/":
			a.drainAcked = time.Now().Add(-time.Minute)
		case "/visible/", "/not-visible/": // the store has had a fault since the announcement
			a.drainAcked, a.drainVersion = time.Now().Add(-time.Minute), 7
			v.store.set(storeSilent)
			if r.URL.Path == "/visible/" {
				v.store.firstSent[7] = time.Now().Add(-time.Minute)
			}
		}
		v.checkRequest(a, r)
		v.checkPath(a, "r1", path)
		return v.violations
	}
	const good = "a:1=0-4,b:1=4-8"
	assert.Equal(t, len(call(good, func(*http.Request) {})), 0)
	checkViolation(t, call("a:1=0-3,b:1=4-8", func(*http.Request) {}), "path")
	checkViolation(t, call("a:1=0-4,b:1=3-8", func(*http.Request) {}), "path")
	checkViolation(t, call("a:1=0-4", func(*http.Request) {}), "path")
	checkViolation(t, call(good, func(r *http.Request) { r.URL.Path = "/drained/" }), "began to leave")
	checkViolation(t, call(good, func(r *http.Request) { r.URL.Path = "/visible/" }), "began to leave")
	assert.Equal(t, len(call(good, func(r *http.Request) { r.URL.Path = "/not-visible/" })), 0)
	checkViolation(t, call(good, func(r *http.Request) { r.Header.Set("Authorization", "Bearer k") }), "with a key")
	checkViolation(t, call(good, func(r *http.Request) { r.Header.Set("X-Cranberrybay-Deadline-Ms", "90000") }), "ms left")
}
