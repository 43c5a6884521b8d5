package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call is a request of a client and its answer.
type call struct {
	id, method, path, key string
	body                  []byte
	deadline              time.Duration

	sentAt, endedAt time.Time
	status          int
	header          http.Header
	answer          []byte
	err             error // the connection ended without a complete answer
}

const host = "ficu95.example"

// do sends the request to an entry process on a connection of its own and records the answer.
func (c *call) do(r *record, e *entry) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, c.method, "http://"+e.callers+c.path, bytes.NewReader(c.body))
	if err != nil {
		c.err = err
		return
	}
	rq.Host = host
	rq.Header.Set(headerID, c.id)
	rq.Header.Set(headerDeadline, fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		rq.Header.Set("Authorization", "Bearer "+c.key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: false, DisableCompression: true}}
	defer client.CloseIdleConnections()
	c.sentAt = time.Now()
	r.add("client sends %s to %s: %s %s, deadline %v", c.id, e.name, c.method, c.path, c.deadline)
	rs, err := client.Do(rq)
	if err == nil {
		c.status, c.header = rs.StatusCode, rs.Header
		c.answer, err = io.ReadAll(rs.Body)
		_ = rs.Body.Close()
	}
	c.err, c.endedAt = err, time.Now()
	if err != nil {
		r.add("client: connection of %s ended after %.3f s without a complete answer: %v", c.id, c.endedAt.Sub(c.sentAt).Seconds(), err)
		return
	}
	r.add("client: %s answered %d after %.3f s, signature %q, Retry-After %q", c.id, c.status, c.endedAt.Sub(c.sentAt).Seconds(), c.header.Get(headerSignature), c.header.Get("Retry-After"))
}
