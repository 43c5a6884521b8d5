package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// plainClient keeps connections open.
var plainClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

// get returns the status of an answer; 0 if there was none.
func get(url string) int {
	rs, err := plainClient.Get(url)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, rs.Body)
	_ = rs.Body.Close()
	return rs.StatusCode
}

var requestCount atomic.Int64

// nextID returns the id of a request.
func nextID() string { return fmt.Sprintf("r%06d", requestCount.Add(1)) }

// post sends a request and returns the status of its answer; 0 if there was none, or no complete one.
func (s *site) post(e *entry, path, key, id string, deadline time.Duration) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, strings.NewReader("a job"))
	if err != nil {
		return 0, err.Error()
	}
	rq.Host = "desk.example"
	rq.Header.Set("X-Cranberrybay-Request-Id", id)
	rq.Header.Set("X-Cranberrybay-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	s.log.add("request %s sent to %s", id, e.name)
	rs, err := plainClient.Do(rq)
	if err != nil {
		s.log.add("request %s ends without an answer: %v", id, err)
		return 0, err.Error()
	}
	defer func() { _ = rs.Body.Close() }()
	raw, err := io.ReadAll(rs.Body)
	if err != nil {
		s.log.add("request %s: its answer breaks off: %v", id, err)
		return 0, err.Error()
	}
	s.log.add("request %s: status %d, retry after %q: %s", id, rs.StatusCode, rs.Header.Get("Retry-After"), strings.TrimSpace(string(raw)))
	return rs.StatusCode, string(raw)
}
