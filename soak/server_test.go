package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	layers  = 8
	perHalf = layers / 2
	// drainTime is how long a leaving server serves on.
	drainTime = 3 * time.Second
	// drainBound is when the last new request may reach a leaving server, after the
	// processes can know of it.
	drainBound = 2 * time.Second
)

// servers are the backend servers of a run, and the record of what they ran.
type servers struct {
	t     *testing.T
	store *store

	mu     sync.Mutex
	all    map[string]*backend // by address
	runs   map[string]int      // of orders, by request
	broken []string            // broken promises
}

// backend is one backend server: an engine, or a server of the order desk.
type backend struct {
	id, address, zone, service string
	born                       int64
	server                     *http.Server
	link                       *link // address is that of the link

	// Under the lock of servers.
	from, to int
	accepted uint64
	fence    uint64
	dead     bool
	left     time.Time // acknowledgement of its leaving; zero before
	leaving  uint64    // version of the row that tells it
	fail     string    // "" or what the next answers do: "refuse", "lose", "extra"
}

func newServers(t *testing.T, s *store) *servers {
	return &servers{t: t, store: s, all: map[string]*backend{}, runs: map[string]int{}}
}

func (v *servers) fault(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// start starts a backend server and lists it.
func (v *servers) start(name, zone, service string) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(v.t, err)
	l := newLink(v.t, ln.Addr().String())
	b := &backend{id: name, address: l.address(), zone: zone, service: service, born: time.Now().UnixMilli(), link: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", func(w http.ResponseWriter, r *http.Request) { v.report(b, w, r) })
	mux.HandleFunc("POST /-/order", func(w http.ResponseWriter, r *http.Request) { v.order(b, w, r) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { v.serve(b, w, r) })
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(ln) }()
	v.mu.Lock()
	v.all[b.address] = b
	v.list(b)
	v.mu.Unlock()
	return b
}

// list writes the entry of a server. It is called under the lock.
func (v *servers) list(b *backend) (time.Time, uint64) {
	e := map[string]any{"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": 64, "state": "ready", "born": b.born}
	if !b.left.IsZero() {
		e["state"] = "draining"
	}
	if b.service == "llm" {
		e["kind"] = "card"
		if b.to > b.from {
			e["layers"] = map[string]int{"from": b.from, "to": b.to, "version": 1}
		}
	}
	return v.store.put("servers", b.id, e)
}

// crash ends a server without a word; its entry lapses later.
func (v *servers) crash(b *backend) {
	v.mu.Lock()
	b.dead = true
	v.mu.Unlock()
	_ = b.server.Close()
	b.link.close()
	time.AfterFunc(time.Second, func() { v.store.put("servers", b.id, nil) })
}

// drain announces that a server leaves, and ends it some seconds later.
func (v *servers) drain(b *backend) {
	// A server can't announce it while the store is away.
	for v.store.away() {
		time.Sleep(20 * time.Millisecond)
	}
	v.mu.Lock()
	b.left = time.Now().Add(time.Hour) // set to the acknowledgement below
	b.left, b.leaving = v.list(b)
	v.mu.Unlock()
	time.AfterFunc(drainTime, func() { v.store.put("servers", b.id, nil) })
	time.AfterFunc(drainTime+2*time.Second, func() { v.crash(b) })
}

func (v *servers) report(b *backend, w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"sequence": b.accepted, "born": b.born, "stalled": []any{}})
}

func (v *servers) order(b *backend, w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string  `json:"operation"`
		Fence     uint64  `json:"fencingToken"`
		Expect    *uint64 `json:"precondition"`
		From      int     `json:"from"`
		To        int     `json:"to"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case o.Operation != "place":
		w.WriteHeader(http.StatusNotFound) // no running stream can be moved here
	case o.Fence < b.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expect != nil && *o.Expect != b.accepted:
		w.WriteHeader(http.StatusConflict)
	case o.To-o.From > layers:
		v.fault("%s was ordered to hold layers %d to %d", b.id, o.From, o.To)
	default:
		b.fence, b.accepted = o.Fence, b.accepted+1
		w.WriteHeader(http.StatusAccepted)
		time.AfterFunc(50*time.Millisecond, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			if b.dead {
				return
			}
			b.from, b.to = o.From, o.To
			v.list(b)
		})
	}
}

func refuse(w http.ResponseWriter, status int, at string) {
	w.Header().Set("X-Cranberrybay-Not-Executed", "1")
	if at != "" {
		w.Header().Set("At-Server", at)
	}
	w.WriteHeader(status)
}

// admit checks what must hold for every request that reaches a server.
func (v *servers) admit(b *backend, r *http.Request) {
	if !b.left.IsZero() {
		if at, ok := v.store.known(b.leaving, b.left); ok && time.Since(at) > drainBound+slack {
			v.fault("request %s reached %s %v after it began to leave and %v after processes could know", r.Header.Get(idHeader), b.id, time.Since(b.left), time.Since(at))
		}
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Cranberrybay-Tenant") != "shop" {
		v.fault("request %s reached %s with a key, or for account %q", r.Header.Get(idHeader), b.id, r.Header.Get("X-Cranberrybay-Tenant"))
	}
	if ms, err := strconv.Atoi(r.Header.Get("X-Cranberrybay-Deadline-Ms")); err != nil || ms > callWait {
		v.fault("request %s reached %s with %q ms left", r.Header.Get(idHeader), b.id, r.Header.Get("X-Cranberrybay-Deadline-Ms"))
	}
}

const idHeader = "X-Cranberrybay-Request-Id"

func (v *servers) serve(b *backend, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Cranberrybay-Target-Instance") != b.id {
		w.Header().Set("X-Cranberrybay-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	v.mu.Lock()
	v.admit(b, r)
	fail := b.fail
	v.mu.Unlock()
	switch fail {
	case "refuse":
		refuse(w, http.StatusServiceUnavailable, "")
		return
	case endlessHead, endlessBody, endlessDrip:
		if b.service == "desk" {
			v.mu.Lock()
			v.runs[r.Header.Get(idHeader)]++
			v.mu.Unlock()
		}
		v.endless(b, w, r.Header.Get(idHeader), fail)
		return
	}
	if b.service == "desk" {
		v.book(b, w, r, fail)
		return
	}
	v.stream(b, w, r)
}

func (v *servers) book(_ *backend, w http.ResponseWriter, r *http.Request, fail string) {
	v.mu.Lock()
	v.runs[r.Header.Get(idHeader)]++
	v.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if fail == "lose" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Cranberrybay-Server-Signature", "desk")
	_, _ = io.WriteString(w, "booked "+r.Header.Get(idHeader))
}

// path checks the path of a stream: every layer once, in order, on engines that
// hold it. It returns the engine that is missing.
func (v *servers) path(b *backend, r *http.Request) (missing string) {
	at := 0
	for i, part := range strings.Split(r.Header.Get("X-Cranberrybay-Hop-Count"), ",") {
		var from, to int
		address, span, _ := strings.Cut(part, "=")
		if _, err := fmt.Sscanf(span, "%d-%d", &from, &to); err != nil || from != at || to <= from || (i == 0 && address != b.address) {
			v.fault("path %q of request %s", r.Header.Get("X-Cranberrybay-Hop-Count"), r.Header.Get(idHeader))
			return address
		}
		at = to
		if e := v.all[address]; e == nil || e.dead || from < e.from || to > e.to {
			return address
		}
	}
	if at != layers {
		v.fault("path %q of request %s", r.Header.Get("X-Cranberrybay-Hop-Count"), r.Header.Get(idHeader))
	}
	return ""
}

// stream sends events until the answer is whole or an engine of the path dies.
func (v *servers) stream(b *backend, w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	missing := v.path(b, r)
	v.mu.Unlock()
	if missing != "" {
		refuse(w, http.StatusServiceUnavailable, missing)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Cranberrybay-Server-Signature", "engine")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= eventsOf(r.Header.Get(idHeader)); n++ {
		time.Sleep(eventPause)
		v.mu.Lock()
		missing = v.path(b, r)
		v.mu.Unlock()
		if missing != "" {
			<-r.Context().Done() // the stream waits for the dead engine
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.Header.Get(idHeader))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

const eventPause = 15 * time.Millisecond

// eventsOf returns the length of the answer to a request.
func eventsOf(id string) int { return 20 + int(id[len(id)-1])%40 }
