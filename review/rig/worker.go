package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two entries of a worker.
const heartbeat = 1200 * time.Millisecond

// run is a request that a worker got.
type run struct {
	worker, id string
	at         time.Time
	cut        atomic.Bool // the worker ended, or the caller left, before the answer
}

// worker is a worker of a plain service. It runs as many requests at once as it has slots and queues some more.
type worker struct {
	site        *site
	id, service string
	zone        string
	slots       int
	work        func() time.Duration
	born        int64
	ln          net.Listener
	server      *http.Server
	places      chan struct{}
	ended       chan struct{}
	once        sync.Once

	mu       sync.Mutex
	sequence int
	drains   bool
	drainAt  time.Time // when the store has acknowledged that the worker drains; zero before
	queued   int
	runs     []*run
}

// workerQueue is how many requests a worker queues.
const workerQueue = 24

// startWorker starts a worker and registers it.
func (s *site) startWorker(id, service, zone string, slots int, work func() time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{site: s, id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), ln: ln, places: make(chan struct{}, slots), ended: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	w.beat()
	go func() {
		time.Sleep(rand.N(heartbeat))
		for {
			select {
			case <-w.ended:
				return
			case <-time.After(heartbeat):
				w.beat()
			}
		}
	}()
	s.workers = append(s.workers, w)
	s.log.add("worker %s of %s started", id, service)
	return w, nil
}

// beat writes the entry of the worker.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
		return
	default:
	}
	w.sequence++
	state := "ready"
	if w.drains {
		state = "draining"
	}
	w.site.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.ln.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "coldLeftMs": 0, "sequence": w.sequence, "born": w.born,
	})
}

// drain reports that the worker drains, serves on for a time, and ends.
func (w *worker) drain(serve time.Duration) {
	w.mu.Lock()
	w.drains = true
	w.mu.Unlock()
	w.beat()
	w.mu.Lock()
	w.drainAt = time.Now()
	w.mu.Unlock()
	w.site.log.add("worker %s: the store has acknowledged that it drains", w.id)
	time.AfterFunc(serve, func() {
		w.site.log.add("worker %s ends", w.id)
		w.end()
		w.site.store.remove("servers", w.id)
	})
}

// sayLeaving makes an answer say that the worker leaves, if it does.
func (w *worker) sayLeaving(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drains {
		h.Set("Connection", "close")
		h.Set("Server-Leaving", "1")
	}
}

// end ends the worker and its connections.
func (w *worker) end() {
	w.once.Do(func() {
		close(w.ended)
		_ = w.server.Close()
	})
}

// load returns the value of the load header.
func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(w.places), w.queued, w.slots)
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Cranberrybay-Request-Id")
	h := rw.Header()
	h.Set("X-Cranberrybay-Request-Id", id)
	h.Set("X-Cranberrybay-Server-Load", w.load())
	w.sayLeaving(h)
	if target := r.Header.Get("X-Cranberrybay-Target-Instance"); target != "" && target != w.id {
		h.Set("X-Cranberrybay-Instance-Id", w.id)
		h.Set("X-Cranberrybay-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := &run{worker: w.id, id: id, at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	full := w.queued >= workerQueue
	if !full {
		w.queued++
	}
	w.mu.Unlock()
	w.site.log.add("request %s reaches %s", id, w.id)
	if full {
		h.Set("X-Cranberrybay-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Cranberrybay-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	placed := false
	select {
	case w.places <- struct{}{}:
		placed = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	w.queued--
	w.mu.Unlock()
	if !placed {
		h.Set("X-Cranberrybay-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.places }()
	select {
	case <-time.After(w.work()):
	case <-ctx.Done():
		x.cut.Store(true)
		w.site.log.add("request %s is cut off at %s", id, w.id)
		return
	}
	w.sayLeaving(h)
	h.Set("X-Cranberrybay-Server-Signature", w.id+"."+id)
	text := "done by " + w.id + " for " + id + ", " + strconv.Itoa(len(body)) + " bytes read\n"
	_, _ = io.WriteString(rw, text) // fails if the caller has gone
}
