package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	grace     = 8 * time.Second        // graceS
	lostBound = 200 * time.Millisecond // lostMs
	key       = "n2ctnfzs989anu6wsjnb"
)

// deskConfig returns a configuration with one plain service.
func deskConfig(version int, kind string, timeout time.Duration, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": host, "pathPrefix": "/desk/", "kind": kind, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 100,
			"priority": 2, "service": "desk", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": keys, "priority": 1}},
	}
}

// stopWhileWaiting sends SIGTERM to an entry process while it holds requests back because the workers asked
// for a pause. A request that the process has read must get a complete answer: the result, or a refusal.
func stopWhileWaiting(s *stage) error {
	const (
		pause    = 12 * time.Second // that the workers name
		deadline = 15 * time.Second
		requests = 4
	)
	s.store.put("op", "config", deskConfig(7, "non_idempotent", deadline, key))
	var workers []*worker
	for i := range 2 {
		w, err := newWorker(s.store, s.record, fmt.Sprintf("i-desk-%d", i+1), "desk", 15*time.Millisecond)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	e, err := s.startEntry("front-thamel-1", "thamel", s.store.address, true)
	if err != nil {
		return err
	}
	if err := e.awaitReady(10 * time.Second); err != nil {
		return err
	}
	first := &call{id: "calm", method: "POST", path: "/desk/2f", key: key, deadline: deadline}
	if first.do(s.record, e); first.status != 200 {
		return errors.New("the system does not serve a request before the case begins")
	}
	for _, w := range workers {
		w.pause(pause)
	}
	// One rejection by each worker tells the process of its pause.
	for i := range len(workers) {
		(&call{id: fmt.Sprintf("rejected-%d", i+1), method: "POST", path: "/desk/2f", key: key, deadline: deadline}).do(s.record, e)
	}
	var calls []*call
	var wg sync.WaitGroup
	for i := range requests {
		c := &call{id: fmt.Sprintf("order-%d", i+1), method: "POST", path: "/desk/2f", key: key, deadline: deadline, body: []byte("refill")}
		calls = append(calls, c)
		wg.Add(1)
		go func() { defer wg.Done(); c.do(s.record, e) }()
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.record.add("SIGTERM to %s", e.name)
		if err := e.signal(syscall.SIGTERM); err != nil {
			return err
		}
		stopped := time.Now()
		go func() {
			select {
			case <-e.done:
				s.record.add("%s ended %.3f s after SIGTERM", e.name, time.Since(stopped).Seconds())
			case <-time.After(grace):
				s.record.add("SIGKILL to %s, %v after SIGTERM", e.name, grace)
				_ = e.signal(syscall.SIGKILL)
			}
		}()
	}
	wg.Wait()
	for _, c := range calls {
		runs := 0
		for _, w := range workers {
			runs += w.ran(c.id)
		}
		held := c.endedAt.Sub(c.sentAt)
		if c.err != nil && held > lostBound && held < c.deadline {
			s.record.breaks("LOST: %s was read, ran %d times, and its connection ended after %.3f s of %v without an answer", c.id, runs, held.Seconds(), c.deadline)
		}
	}
	return nil
}
