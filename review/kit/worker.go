package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the platform's protocol.
const (
	headerID        = "X-Cranberrybay-Request-Id"
	headerSignature = "X-Cranberrybay-Server-Signature"
	headerTarget    = "X-Cranberrybay-Target-Instance"
	headerNotRun    = "X-Cranberrybay-Not-Executed"
	headerDeadline  = "X-Cranberrybay-Deadline-Ms"
)

// worker is a stand-in for a worker of a service without an engine.
type worker struct {
	id, service, address string
	work                 time.Duration
	record               *record

	mu         sync.Mutex
	pauseUntil time.Time      // until then it rejects requests with Retry-After
	runs       map[string]int // by request ID
}

// newWorker starts a worker and registers it in the store.
func newWorker(s *store, r *record, id, service string, work time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for a worker: %w", err)
	}
	x := &worker{id: id, service: service, address: ln.Addr().String(), work: work, record: r, runs: map[string]int{}}
	server := &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }()
	born := time.Now().UnixMilli()
	register := func(sequence int) {
		s.put("servers", id, map[string]any{"service": service, "address": x.address, "zone": "thamel", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "born": born, "sequence": sequence})
	}
	register(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond) // heartbeatMs
			register(n)
		}
	}()
	return x, nil
}

// pause makes the worker reject requests for a time. Each rejection names what is left of it.
func (x *worker) pause(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pauseUntil = time.Now().Add(d)
}

// ran returns how often the worker ran a request.
func (x *worker) ran(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[id]
}

func (x *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set("X-Cranberrybay-Instance-Id", x.id)
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerID, id)
	if target := r.Header.Get(headerTarget); target != "" && target != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mu.Lock()
	left := time.Until(x.pauseUntil)
	if left <= 0 {
		x.runs[id]++
	}
	x.mu.Unlock()
	if left > 0 {
		x.record.add("%s rejects %s, Retry-After %.1f", x.id, id, left.Seconds())
		w.Header().Set(headerNotRun, "1")
		w.Header().Set("Retry-After", fmt.Sprintf("%.1f", left.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.record.add("%s runs %s", x.id, id)
	time.Sleep(x.work)
	w.Header().Set(headerSignature, x.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s did %s %d bytes\n", x.id, id, len(body))
}
