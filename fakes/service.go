package fakes

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/engine"
)

// ServiceFaults are the fault switches of a plain service. The counters go down by
// one with each fault that is injected.
type ServiceFaults struct {
	Refuse           bool          `json:"refuse"` // refuses every call without running it
	LostReplies      int           `json:"drop"`   // calls to run and then close the connection of
	LostCalls        int           `json:"lose"`   // calls to close the connection of without running them
	TruncatedReplies int           `json:"cut"`    // answers to cut off in their body
	Pause            int           `json:"pause"`  // seconds that refusals ask for; 0 for none
	FailedCalls      int           `json:"fail"`   // calls to run and answer with 500
	Delay            time.Duration `json:"delay"`  // delay before each call, in nanoseconds
}

// OrderRecord is an order that was executed.
type OrderRecord struct {
	Body    string `json:"body"`
	Key     string `json:"key,omitempty"`    // Idempotency-Key
	Request string `json:"request"`          // X-Request-Id
	Secret  string `json:"secret,omitempty"` // Authorization header, which the proxy must not pass on
}

// Service is a stand-in for a plain service: POST /orders appends an order and is
// not idempotent, GET /archive/{name} is a lookup, and GET /feed streams lines.
type Service struct {
	mu      sync.Mutex
	orders  []OrderRecord
	faults  ServiceFaults
	leaving bool
	running int
	calls   int
	boot    string
	crashed bool
	deadly  string // text of calls that crash the service; "" for none
	onCrash func()
}

// NewService returns a service without orders.
func NewService() *Service { return &Service{boot: uuid.NewString()} }

// SetDeadly sets a text of paths and bodies that crashes the service, and the function
// that makes it refuse connections then.
func (s *Service) SetDeadly(text string, onCrash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly, s.onCrash = text, onCrash
}

// Restart starts a new incarnation after a crash.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot, s.crashed = uuid.NewString(), false
}

// crashIfDeadly crashes the service if the call is deadly, and closes the connection of
// each call of a crashed service.
func (s *Service) crashIfDeadly(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	crash := !s.crashed && s.deadly != "" && strings.Contains(r.URL.Path+string(body), s.deadly)
	s.crashed = s.crashed || crash
	crashed, onCrash := s.crashed, s.onCrash
	s.mu.Unlock()
	if crash {
		onCrash()
	}
	if crashed {
		panic(http.ErrAbortHandler)
	}
}

// Orders returns the bodies of the executed orders, in the order of execution.
func (s *Service) Orders() []string {
	var out []string
	for _, o := range s.ExecutedOrders() {
		out = append(out, o.Body)
	}
	return out
}

// ExecutedOrders returns the executed orders, in the order of execution.
func (s *Service) ExecutedOrders() []OrderRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OrderRecord(nil), s.orders...)
}

// Calls returns the number of calls that arrived, not counting load reports.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving sets whether the service is leaving. A leaving service refuses new
// calls and finishes the running ones.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Leaving reports whether the service is leaving.
func (s *Service) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Handler returns the HTTP API of the service.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /orders", s.withFaults(s.serveOrder))
	m.HandleFunc("GET /archive/{name}", s.withFaults(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "archive entry %s\n", r.PathValue("name"))
	}))
	m.HandleFunc("GET /feed", s.withFaults(s.serveFeed))
	m.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.ExecutedOrders()) })
	m.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.crashed {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, engine.LoadReport{Boot: s.boot, Slots: 16, Running: s.running, Ready: true, Leaving: s.leaving})
	})
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFaults
		if decodeBody(w, r, &f) {
			s.SetFaults(f)
			writeJSON(w, f)
		}
	})
	m.HandleFunc("PUT /leaving", func(w http.ResponseWriter, r *http.Request) {
		var leaving bool
		if decodeBody(w, r, &leaving) {
			s.SetLeaving(leaving)
			writeJSON(w, leaving)
		}
	})
	return m
}

// takeFault decrements a fault counter and reports whether it was positive.
func (s *Service) takeFault(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n > 0 {
		*n--
		return true
	}
	return false
}

// withFaults counts a call and applies the faults that precede its execution.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		refused, pause, delay := s.leaving || s.faults.Refuse, s.faults.Pause, s.faults.Delay
		if !refused {
			s.running++
		}
		s.mu.Unlock()
		if refused {
			if pause > 0 {
				w.Header().Set("Retry-After", strconv.Itoa(pause))
			}
			refuse(w, "service is leaving")
			return
		}
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running--
		}()
		time.Sleep(delay)
		s.crashIfDeadly(r)
		if s.takeFault(&s.faults.LostCalls) {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// serveOrder executes an order and applies the faults that follow its execution.
func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.orders = append(s.orders, OrderRecord{Body: string(b), Key: r.Header.Get("Idempotency-Key"), Request: r.Header.Get("X-Request-Id"), Secret: r.Header.Get("Authorization")})
	n := len(s.orders)
	s.mu.Unlock()
	if s.takeFault(&s.faults.LostReplies) {
		panic(http.ErrAbortHandler)
	}
	if s.takeFault(&s.faults.FailedCalls) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if s.takeFault(&s.faults.TruncatedReplies) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"order\":%d,\"request\":%q}\n", n, r.Header.Get("X-Request-Id"))
}

// serveFeed streams the number of lines in the query, one per millisecond or one per
// interval "pace" of the query.
func (s *Service) serveFeed(w http.ResponseWriter, r *http.Request) {
	lines, pace := 10, time.Millisecond
	_, _ = fmt.Sscan(r.URL.Query().Get("lines"), &lines)
	if d, err := time.ParseDuration(r.URL.Query().Get("pace")); err == nil {
		pace = d
	}
	for n := range min(lines, 100000) {
		_, _ = fmt.Fprintf(w, "line %d\n", n)
		_ = http.NewResponseController(w).Flush()
		if s.takeFault(&s.faults.TruncatedReplies) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(pace):
		case <-r.Context().Done():
			return
		}
	}
}
